import type {ServiceRouter} from '../decisions/routing/service_router.js';
import type {SettingsView} from '../settings/settings_view.js';
import type {Clock} from '../utilities/clock.js';
import type {EntryAlarms} from './alarms/entry_alarms.js';
import type {ServiceLimits} from './requests/service_limits.js';
import type {ShardManager} from './shards/shard_manager.js';

/** The settings in force, and the components that depend on them. */
export interface SettingsApplierOptions {
  readonly settings: SettingsView;
  readonly alarms: EntryAlarms;
  readonly shards: ShardManager;
  readonly router: ServiceRouter;
  readonly limits: ServiceLimits;
  readonly clock: Clock;
}

/** Passes changed settings to the components that depend on them. */
export class SettingsApplier {
  constructor(private readonly options: SettingsApplierOptions) {}

  /** Called after each change of the settings in force. */
  apply(): void {
    const {settings, alarms, shards, router, limits, clock} = this.options;
    const {fleet} = settings;
    alarms.applySettings();
    shards.applySettings();
    router.setAvoidedDomains(fleet.failureDomainsOut);
    router.setLimits(fleet);
    limits.apply(settings, clock.now());
  }
}

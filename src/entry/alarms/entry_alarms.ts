import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import type {Logger} from '../../observability/logger.js';
import type {SettingsView} from '../../settings/settings_view.js';
import type {AgentDirectory} from '../agents/agent_directory.js';
import type {ProcessStatuses} from '../membership/process_statuses.js';
import type {ShardManager} from '../shards/shard_manager.js';
import {EjectionAlarms} from './ejection_alarms.js';
import {QuarantineAlarms} from './quarantine_alarms.js';
import {SettingsAlarms} from './settings_alarms.js';
import {UpstreamAlarms} from './upstream_alarms.js';

/** Logs the beginning and end of conditions that operators should know of. */
export class EntryAlarms {
  private readonly upstreams: UpstreamAlarms;
  private readonly settings: SettingsAlarms;
  private readonly quarantines: QuarantineAlarms;
  private readonly ejections: EjectionAlarms;

  constructor(
    private readonly options: {
      readonly agents: AgentDirectory;
      readonly router: ServiceRouter;
      readonly statuses: ProcessStatuses;
      readonly shards: ShardManager;
      readonly settings: SettingsView;
      readonly logger: Logger;
    },
  ) {
    const {agents, router, logger} = options;
    this.upstreams = new UpstreamAlarms(agents, logger);
    this.settings = new SettingsAlarms(logger);
    this.quarantines = new QuarantineAlarms(logger);
    this.ejections = new EjectionAlarms(router, logger);
  }

  /** Called when new settings have come into force in this process. */
  applySettings(): void {
    this.settings.applyFleetSettings(this.options.settings.fleet);
  }

  /** Called about once a second. */
  check(now: number): void {
    const {statuses, settings, shards} = this.options;
    this.upstreams.check(now);
    this.ejections.check(now);
    this.settings.check(statuses.all(now), settings.revision, now);
    this.quarantines.check(shards.owned.values(), now);
  }
}

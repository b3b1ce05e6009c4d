import type {Logger} from '../../observability/logger.js';
import type {SettingsView} from '../../settings/settings_view.js';
import type {AgentDirectory} from '../agents/agent_directory.js';
import type {ProcessStatuses} from '../membership/process_statuses.js';
import type {ShardManager} from '../shards/shard_manager.js';
import {QuarantineAlarms} from './quarantine_alarms.js';
import {SettingsAlarms} from './settings_alarms.js';
import {UpstreamAlarms} from './upstream_alarms.js';

/** Logs when states that operators should know of begin and end. */
export class EntryAlarms {
  private readonly upstreams: UpstreamAlarms;
  private readonly settings: SettingsAlarms;
  private readonly quarantines: QuarantineAlarms;

  constructor(
    private readonly options: {
      readonly agents: AgentDirectory;
      readonly statuses: ProcessStatuses;
      readonly shards: ShardManager;
      readonly settings: SettingsView;
      readonly logger: Logger;
    },
  ) {
    const {agents, logger} = options;
    this.upstreams = new UpstreamAlarms(agents, logger);
    this.settings = new SettingsAlarms(logger);
    this.quarantines = new QuarantineAlarms(logger);
  }

  /** Takes in settings that have just come in force here. */
  noteSettings(): void {
    this.settings.noteFleet(this.options.settings.fleet);
  }

  /** To be called every second or so. */
  check(now: number): void {
    const {statuses, settings, shards} = this.options;
    this.upstreams.check(now);
    this.settings.check(statuses.all(now), settings.revision, now);
    this.quarantines.check(shards.owned.values(), now);
  }
}

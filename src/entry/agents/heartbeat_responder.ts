import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import type {
  HeartbeatReply,
  HeartbeatRequest,
  ShardLease,
} from '../../protocol/generated/burdockmoor.js';
import type {SettingsView} from '../../settings/settings_view.js';
import type {Clock} from '../../utilities/clock.js';
import type {EntryRoster} from '../membership/entry_roster.js';
import type {ShardManager} from '../shards/shard_manager.js';
import {settingsAgeMillis} from '../settings_age.js';
import type {AgentDirectory, AgentRecord} from './agent_directory.js';
import {upstreamReportOf} from './upstream_messages.js';

/** Above this rate agents are told to report less often. */
const HEARTBEATS_A_SECOND = 100;
/** Heartbeats that fit into a task lease, so that a few may be lost. */
const HEARTBEATS_IN_A_LEASE = 4;
const MILLIS_A_SECOND = 1_000;

/** Answers the heartbeats of agents: leases, settings, the entries. */
export class HeartbeatResponder {
  constructor(
    private readonly options: {
      readonly entryId: string;
      readonly agents: AgentDirectory;
      readonly router: ServiceRouter;
      readonly settings: SettingsView;
      readonly shards: ShardManager;
      readonly roster: EntryRoster;
      readonly clock: Clock;
    },
  ) {}

  /** Takes the heartbeat in and answers it; it needs no call to the store. */
  answer(request: HeartbeatRequest): HeartbeatReply {
    const {agents, settings, clock} = this.options;
    const now = clock.now();
    if (agents.note(request, now)) this.spread(agents.find(request.agentId)!);
    return {
      entryId: this.options.entryId,
      agentTime: request.agentTime,
      leases: this.leases(),
      leaseMillis: settings.fleet.taskLeaseMillis,
      settingsRevision: settings.revision,
      settingsAgeMillis: settingsAgeMillis(settings, now),
      settings: settings.documentsNewerThan(
        request.settingsRevision,
        request.branches,
      ),
      entries: this.entries(),
      nextHeartbeatMillis: this.period(),
    };
  }

  /** Tells the schedulers and the router what the heartbeat says. */
  private spread(agent: AgentRecord): void {
    const {router, shards, clock} = this.options;
    shards.noteAgent(agent);
    for (const executor of agent.heartbeat.executors) {
      const report = upstreamReportOf(agent.heartbeat, executor);
      router.applyReport(report, clock.now());
    }
  }

  private leases(): ShardLease[] {
    const {shards} = this.options;
    if (!shards.mayRenewTaskLeases()) return [];
    const leases: ShardLease[] = [];
    for (const owner of shards.owned.values()) {
      if (owner.dropped) continue;
      leases.push({shard: owner.shard, epoch: owner.epoch});
    }
    return leases;
  }

  private entries(): HeartbeatReply['entries'] {
    return this.options.roster.all().map(entry => ({
      entryId: entry.entryId,
      address: entry.processAddress,
      failureDomain: entry.failureDomain,
    }));
  }

  private period(): number {
    const {agents, settings} = this.options;
    const {heartbeatMillis, taskLeaseMillis} = settings.fleet;
    const paced = (agents.size * MILLIS_A_SECOND) / HEARTBEATS_A_SECOND;
    const longest = taskLeaseMillis / HEARTBEATS_IN_A_LEASE;
    return Math.round(Math.min(longest, Math.max(heartbeatMillis, paced)));
  }
}

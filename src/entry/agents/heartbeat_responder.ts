import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import {NO_VIEW} from '../../protocol/entry_view.js';
import {HeartbeatReply} from '../../protocol/generated/burdockmoor.js';
import type {
  HeartbeatRequest,
  ShardLease,
} from '../../protocol/generated/burdockmoor.js';
import {isFull} from '../../protocol/heartbeat_delta.js';
import type {SettingsView} from '../../settings/settings_view.js';
import type {Clock} from '../../utilities/clock.js';
import type {KnownEntries} from '../membership/known_entries.js';
import type {ShardManager} from '../shards/shard_manager.js';
import {settingsAgeMillis} from '../settings_age.js';
import type {AgentDirectory, AgentRecord} from './agent_directory.js';
import {EntryViews} from './entry_views.js';
import {upstreamReportOf} from './upstream_messages.js';

/** Above this rate agents are told to report less often. */
const HEARTBEATS_A_SECOND = 100;
/** Heartbeats that fit into a task lease, so that a few may be lost. */
const HEARTBEATS_IN_A_LEASE = 4;
const MILLIS_A_SECOND = 1_000;

/** Nothing was taken in, so neither leases nor settings are confirmed. */
const RESYNC: HeartbeatReply = {
  ...HeartbeatReply.decode(new Uint8Array()),
  resync: true,
};

/** Answers the heartbeats of agents: leases, settings, the entries. */
export class HeartbeatResponder {
  private readonly views = new EntryViews();

  constructor(
    private readonly options: {
      readonly entryId: string;
      readonly agents: AgentDirectory;
      readonly router: ServiceRouter;
      readonly settings: SettingsView;
      readonly shards: ShardManager;
      readonly entries: KnownEntries;
      readonly clock: Clock;
    },
  ) {}

  /** Takes the heartbeat in and answers it; it needs no call to the store. */
  answer(request: HeartbeatRequest): HeartbeatReply {
    const {agents, settings, clock} = this.options;
    const now = clock.now();
    const heartbeat = agents.complete(request);
    if (!heartbeat) return RESYNC;
    const {agentId, settingsRevision, branches} = heartbeat;
    const isNewer = agents.note(heartbeat, now);
    const agent = agents.find(agentId)!;
    if (isNewer) this.spread(agent);
    return {
      ...this.view(request),
      resync: false,
      session: isFull(request) ? agent.session : 0,
      settingsRevision: settings.revision,
      settingsAgeMillis: settingsAgeMillis(settings, now),
      settings: settings.documentsNewerThan(settingsRevision, branches),
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

  /** The view of now, left out where the agent holds it already. */
  private view(request: HeartbeatRequest) {
    const view = this.views.current({
      entryId: this.options.entryId,
      leaseMillis: this.options.settings.fleet.taskLeaseMillis,
      leases: this.leases(),
      entries: this.entries(),
    });
    const isHeld = !isFull(request) && request.viewVersion === view.viewVersion;
    return isHeld ? {...view, ...NO_VIEW} : view;
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
    const {entries, clock} = this.options;
    return entries.all(clock.now()).map(entry => ({
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

import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import {NO_VIEW} from '../../protocol/entry_view.js';
import {HeartbeatReply} from '../../protocol/generated/burdockmoor.js';
import type {
  HeartbeatRequest,
  ShardLease,
} from '../../protocol/generated/burdockmoor.js';
import {isFullHeartbeat} from '../../protocol/heartbeat_delta.js';
import type {SettingsView} from '../../settings/settings_view.js';
import type {Clock} from '../../utilities/clock.js';
import type {KnownEntries} from '../membership/known_entries.js';
import type {ShardManager} from '../shards/shard_manager.js';
import {settingsAgeMillis} from '../settings_age.js';
import type {AgentDirectory, AgentRecord} from './agent_directory.js';
import {EntryViewVersioner} from './entry_view_versioner.js';
import {upstreamReportOf} from './upstream_messages.js';

/** The total rate above which agents are told to report less often. */
const TARGET_HEARTBEATS_PER_SECOND = 100;
/** A task lease spans this many heartbeats, so that a few may be lost. */
const HEARTBEATS_PER_LEASE = 4;
const MILLIS_PER_SECOND = 1_000;

/** The heartbeat was not applied, so no leases or settings are confirmed. */
const RESYNC: HeartbeatReply = {
  ...HeartbeatReply.decode(new Uint8Array()),
  resync: true,
};

/** Replies to the heartbeats of agents with leases, settings and entries. */
export class HeartbeatResponder {
  private readonly viewVersioner = new EntryViewVersioner();

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

  /** Applies the heartbeat and returns the reply, without calling the store. */
  respond(request: HeartbeatRequest): HeartbeatReply {
    const {agents, settings, clock} = this.options;
    const now = clock.now();
    const heartbeat = agents.toFullHeartbeat(request);
    if (!heartbeat) return RESYNC;
    const {agentId, settingsRevision, branches} = heartbeat;
    const isNewer = agents.applyHeartbeat(heartbeat, now);
    const agent = agents.find(agentId)!;
    if (isNewer) this.forwardHeartbeat(agent);
    return {
      ...this.viewFor(request),
      resync: false,
      session: isFullHeartbeat(request) ? agent.session : 0,
      settingsRevision: settings.revision,
      settingsAgeMillis: settingsAgeMillis(settings, now),
      settings: settings.documentsNewerThan(settingsRevision, branches),
      nextHeartbeatMillis: this.heartbeatPeriodMillis(),
    };
  }

  /** Passes the heartbeat on to the schedulers and the router. */
  private forwardHeartbeat(agent: AgentRecord): void {
    const {router, shards, clock} = this.options;
    shards.updateAgent(agent);
    for (const executor of agent.heartbeat.executors) {
      const report = upstreamReportOf(agent.heartbeat, executor);
      router.applyReport(report, clock.now());
    }
  }

  /** Returns the current view, emptied if the agent already has it. */
  private viewFor(request: HeartbeatRequest) {
    const view = this.viewVersioner.withVersion({
      entryId: this.options.entryId,
      leaseMillis: this.options.settings.fleet.taskLeaseMillis,
      leases: this.leases(),
      entries: this.entries(),
    });
    const isKnownToAgent =
      !isFullHeartbeat(request) && request.viewVersion === view.viewVersion;
    return isKnownToAgent ? {...view, ...NO_VIEW} : view;
  }

  private leases(): ShardLease[] {
    const {shards} = this.options;
    if (!shards.canRenewTaskLeases()) return [];
    const leases: ShardLease[] = [];
    for (const owner of shards.owned.values()) {
      if (owner.isDropped) continue;
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

  private heartbeatPeriodMillis(): number {
    const {agents, settings} = this.options;
    const {heartbeatMillis, taskLeaseMillis} = settings.fleet;
    const rateLimitedMillis =
      (agents.size * MILLIS_PER_SECOND) / TARGET_HEARTBEATS_PER_SECOND;
    const maximumMillis = taskLeaseMillis / HEARTBEATS_PER_LEASE;
    return Math.round(
      Math.min(maximumMillis, Math.max(heartbeatMillis, rateLimitedMillis)),
    );
  }
}

import {ShardScheduler} from '../../decisions/jobs/shard_scheduler.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {ConfirmingStore} from '../../backends/confirming_store.js';
import type {Store} from '../../backends/store.js';
import type {SettingsView} from '../../settings/settings_view.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import type {Random} from '../../utilities/random.js';
import type {AgentDirectory} from '../agents/agent_directory.js';
import {vmViewOf} from '../agents/agent_directory.js';
import type {AgentRecord} from '../agents/agent_directory.js';
import type {EntryRegistry} from '../membership/entry_registry.js';
import type {StoreLeaseKeeper} from '../membership/store_lease_keeper.js';
import type {AttemptDispatcher} from './attempt_dispatcher.js';
import type {ShardClaims} from './shard_claims.js';
import {ShardLog} from './shard_log.js';
import {ShardOwner} from './shard_owner.js';

/** Dependencies and options of a ShardManager. */
export interface ShardManagerOptions {
  readonly entryId: string;
  readonly shardCount: number;
  readonly store: Store;
  readonly settling: ConfirmingStore;
  readonly settings: SettingsView;
  readonly claims: ShardClaims;
  readonly registry: EntryRegistry;
  readonly lease: StoreLeaseKeeper;
  readonly agents: AgentDirectory;
  readonly dispatcher: AttemptDispatcher;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** How long an owner keeps renewing task leases without the store. */
  readonly outageGraceMillis: number;
}

/** Takes over the shards assigned to this entry and gives up the others. */
export class ShardManager {
  private readonly ownersByShard = new Map<number, ShardOwner>();
  private readonly takingOver = new Set<number>();
  private leaseLastValidAt = -Infinity;
  private stopping = false;

  constructor(private readonly options: ShardManagerOptions) {}

  /** The owners in this entry, by shard. */
  get owned(): ReadonlyMap<number, ShardOwner> {
    return this.ownersByShard;
  }

  /**
   * True if task leases may be renewed. They may be for a grace time after the
   * store lease is lost, so that tasks survive a short outage of the store; a
   * later owner waits until that time has passed.
   */
  canRenewTaskLeases(): boolean {
    const now = this.options.clock.now();
    if (this.options.lease.isValid()) this.leaseLastValidAt = now;
    return now - this.leaseLastValidAt < this.options.outageGraceMillis;
  }

  /**
   * Claims, hands over and reopens shards according to the entries and owners
   * last read from the store. Never rejects.
   */
  async rebalance(): Promise<void> {
    const {claims, registry, clock} = this.options;
    if (this.stopping) return;
    this.dropReassigned();
    if (!this.canRenewTaskLeases())
      this.dropAll('the store has been unreachable for too long');
    const liveEntries = registry.all().filter(entry => !entry.stopping);
    const entryIds = liveEntries.map(entry => entry.entryId);
    const plan = claims.plan(entryIds, clock.now());
    for (const shard of plan.handOver) await this.handOver(shard);
    for (const shard of plan.claim) await this.claim(shard);
    for (const shard of plan.keep) await this.reopen(shard);
  }

  /** Passes the last heartbeat of an agent to all schedulers. */
  updateAgent(agent: AgentRecord): void {
    const {settings, clock} = this.options;
    const view = vmViewOf(
      agent.heartbeat,
      (_team, service) => settings.service(service)?.targetTailMillis ?? 0,
    );
    for (const owner of this.ownersByShard.values()) {
      owner.scheduler.applyHeartbeat(view, clock.now(), clock.wallTime());
    }
  }

  /** Passes changed settings to all schedulers. */
  applySettings(): void {
    for (const owner of this.ownersByShard.values()) {
      this.applySettingsTo(owner.scheduler);
    }
  }

  /** Makes due decisions, and sends agents the commands of durable ones. */
  decide(): void {
    const {clock, dispatcher} = this.options;
    for (const owner of this.ownersByShard.values()) {
      owner.scheduler.decide(clock.now(), clock.wallTime());
      owner.scheduleCommit();
      dispatcher.dispatch(owner);
    }
  }

  /** Hands over all shards; part of a graceful shutdown. */
  async stop(): Promise<void> {
    this.stopping = true;
    for (const shard of [...this.ownersByShard.keys()]) {
      await this.handOver(shard);
    }
  }

  /** Drops owners whose shard belongs to another entry as per the store. */
  private dropReassigned(): void {
    const {claims, lease, entryId} = this.options;
    if (!lease.isValid()) return;
    for (const [shard, owner] of this.ownersByShard) {
      const ownerId = claims.ownerOf(shard);
      if (ownerId === undefined || ownerId === entryId) continue;
      owner.drop(`entry ${ownerId} owns it`);
    }
  }

  private dropAll(reason: string): void {
    for (const owner of [...this.ownersByShard.values()]) owner.drop(reason);
  }

  /** Claims a shard, and replays it unless its owner still exists here. */
  private async claim(shard: number): Promise<void> {
    const {claims, lease} = this.options;
    const leaseId = lease.currentLeaseId;
    if (leaseId === undefined) return;
    await this.takeOver(shard, async () => {
      const claimed = await claims.claim(shard, leaseId);
      // An owner that was kept through a store outage continues with its state.
      // If another entry has written to the log since, the owner's next append
      // fails and drops it.
      if (claimed && !this.ownersByShard.has(shard)) await this.open(shard);
    });
  }

  /** Replays a shard that is still claimed but whose owner was dropped. */
  private async reopen(shard: number): Promise<void> {
    if (this.ownersByShard.has(shard)) return;
    await this.takeOver(shard, () => this.open(shard));
  }

  /** Runs one step per shard at a time, and logs a failure of it. */
  private async takeOver(
    shard: number,
    step: () => Promise<void>,
  ): Promise<void> {
    if (this.takingOver.has(shard)) return;
    this.takingOver.add(shard);
    try {
      await step();
    } catch (error) {
      const reason = messageOf(error);
      this.options.logger.event(Events.SHARD_REPLAY_FAILED, {shard, reason});
    } finally {
      this.takingOver.delete(shard);
    }
  }

  private async open(shard: number): Promise<void> {
    const {store, settling, entryId, clock, logger, dispatcher} = this.options;
    try {
      const owner = await ShardOwner.takeOver({
        log: new ShardLog(shard, store, settling),
        entryId,
        createScheduler: snapshot => this.createScheduler(shard, snapshot),
        clock,
        logger,
        // Appends are retried for as long as task leases are renewed without
        // the store.
        appendDeadlineMillis: this.options.outageGraceMillis,
        observer: {
          onCommitted: committed => dispatcher.dispatch(committed),
          onDropped: dropped => this.forget(dropped),
        },
      });
      this.ownersByShard.set(shard, owner);
    } catch (error) {
      await this.options.claims.release(shard);
      throw error;
    }
    for (const agent of this.options.agents.live(clock.now())) {
      this.updateAgent(agent);
    }
  }

  private createScheduler(shard: number, snapshot: string): ShardScheduler {
    const {clock, random, outageGraceMillis, shardCount} = this.options;
    const limits = {earlierOwnerGraceMillis: outageGraceMillis};
    const wallTimeOffsetMillis = clock.wallTime() - clock.now();
    const options = {
      shard,
      shards: shardCount,
      random,
      limits,
      wallTimeOffsetMillis,
    };
    const scheduler =
      snapshot === ''
        ? new ShardScheduler(options)
        : ShardScheduler.restore(snapshot, options);
    this.applySettingsTo(scheduler);
    return scheduler;
  }

  private applySettingsTo(scheduler: ShardScheduler): void {
    const {settings} = this.options;
    scheduler.setFleet(settings.fleet);
    for (const branch of settings.branches()) {
      scheduler.setTeam(settings.team(branch));
    }
  }

  private async handOver(shard: number): Promise<void> {
    const owner = this.ownersByShard.get(shard);
    await owner?.waitUntilDurable().catch(() => undefined);
    owner?.drop('it is handed over');
    try {
      await this.options.claims.release(shard);
    } catch (error) {
      this.options.logger.event(Events.HAND_OVER_FAILED, {
        shard,
        reason: messageOf(error),
      });
    }
  }

  private forget(owner: ShardOwner): void {
    if (this.ownersByShard.get(owner.shard) !== owner) return;
    this.ownersByShard.delete(owner.shard);
  }
}

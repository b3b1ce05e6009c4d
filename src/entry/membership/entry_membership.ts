import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Store} from '../../backends/store.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {ShardClaims} from '../shards/shard_claims.js';
import {EntryRegistry} from './entry_registry.js';
import type {EntryRecord} from './entry_registry.js';
import {StoreLeaseKeeper} from './store_lease_keeper.js';

/** The entry's own record, and the dependencies of its membership. */
export interface EntryMembershipOptions {
  readonly record: EntryRecord;
  readonly shardCount: number;
  readonly store: Store;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * The membership of this entry: its lease and its record in the store, and the
 * other entries and their shards as last read from the store.
 */
export class EntryMembership {
  readonly registry: EntryRegistry;
  readonly claims: ShardClaims;
  readonly lease: StoreLeaseKeeper;
  private registering = false;
  private refreshing = false;
  private leaving = false;

  constructor(private readonly options: EntryMembershipOptions) {
    const {record, shardCount, store, clock, logger} = options;
    this.registry = new EntryRegistry(store);
    this.claims = new ShardClaims(store, record.entryId, shardCount);
    this.lease = new StoreLeaseKeeper(store, clock, logger, {
      onLeaseGranted: () => void this.register(),
      onLeaseLost: () => this.claims.forgetOwnClaims(),
    });
  }

  /** True if this entry has begun a graceful shutdown. */
  get isStopping(): boolean {
    return this.leaving;
  }

  /**
   * Reads the registered entries and the claims. Never rejects; resolves to
   * false if an earlier refresh is still in progress.
   */
  async refresh(): Promise<boolean> {
    if (this.refreshing) return false;
    this.refreshing = true;
    try {
      await this.registry.refresh();
      if (!this.isRegistered()) await this.register();
      await this.claims.refresh(this.options.clock.now());
    } catch {
      // The settings follower reports that the store can't be reached.
    } finally {
      this.refreshing = false;
    }
    return true;
  }

  /** Tells the other entries that this one stops. Never rejects. */
  async announceStop(): Promise<void> {
    this.leaving = true;
    await this.register();
  }

  /** Revokes the lease, which deletes the record as well. Never rejects. */
  async leave(): Promise<void> {
    try {
      await this.lease.release();
    } catch (error) {
      const reason = messageOf(error);
      this.options.logger.event(Events.STORE_UNREACHABLE, {reason});
    }
  }

  /** True if the stored record is of this process run and up to date. */
  private isRegistered(): boolean {
    const {entryId, nonce} = this.options.record;
    const registered = this.registry.find(entryId);
    return registered?.nonce === nonce && registered.stopping === this.leaving;
  }

  private async register(): Promise<void> {
    const leaseId = this.lease.currentLeaseId;
    if (leaseId === undefined || this.registering) return;
    this.registering = true;
    try {
      const record = {...this.options.record, stopping: this.leaving};
      await this.registry.register(record, leaseId);
    } catch (error) {
      const reason = messageOf(error);
      this.options.logger.event(Events.REGISTRATION_FAILED, {reason});
    } finally {
      this.registering = false;
    }
  }
}

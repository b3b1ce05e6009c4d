import {KeyWatch} from '../../backends/key_watch.js';
import type {TransactionalStore} from '../../backends/transactional_store.js';
import type {StoredValue} from '../../backends/store.js';
import {
  betterOwners,
  claimDelayMillis,
} from '../../decisions/workflows/owner_succession.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {LatencyHistogram, Metrics} from '../../observability/metrics.js';
import {
  decodeCommit,
  decodeOwner,
  encodeRecord,
} from '../../protocol/owner_record.js';
import type {OwnerRecord} from '../../protocol/owner_record.js';
import type {PoolLinkFactory} from '../../protocol/pool_links.js';
import {StoreKeys} from '../../protocol/store_keys.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {withDeadline} from '../../utilities/deadline.js';
import {readClocks} from '../../utilities/clock_readings.js';
import {pause} from '../../utilities/pause.js';
import {PoolEntryRegistry} from './pool_entry_registry.js';
import {LeaseValidity} from './lease_validity.js';
import type {StoreHealth} from './store_health.js';
import type {PoolOwner} from './pool_owner.js';

/**
 * Time without the store after which another entry may own the pool: several
 * response times of a store that is a hundred times slower than usual.
 */
export const OWNER_TTL_MILLIS = 2_000;
/** Allows four renewals within the lease's TTL. */
const RENEWAL_MILLIS = 450;
const RENEWAL_RETRY_MILLIS = 150;
/** A renewal without a response by then is retried. */
const RENEWAL_TIMEOUT_MILLIS = 600;
/** Poll interval to detect a missing owner when watches fail. */
const POLL_INTERVAL_MILLIS = 800;
/** Delay after a failed claim; doubled each time, up to the maximum. */
const CLAIM_RETRY_MILLIS = 150;
const MAXIMUM_CLAIM_RETRY_MILLIS = 1_000;
/** Interval at which an owner checks for an entry with more capacity. */
const HAND_OVER_CHECK_MILLIS = 5_000;

/** A successful claim of the pool. */
export interface OwnershipClaim {
  readonly owner: OwnerRecord;
  /** Revision of the owner's key, which is written once. */
  readonly epoch: number;
  readonly validity: LeaseValidity;
  /** True if no earlier owner could act any more at the claim. */
  readonly isSole: boolean;
}

/** The pool's owner, as last seen by this entry. */
export interface KnownOwner {
  readonly address: string;
  readonly epoch: number;
}

export interface PoolOwnershipOptions {
  readonly store: TransactionalStore;
  readonly health: StoreHealth;
  readonly links: PoolLinkFactory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly processName: string;
  /** HOST:PORT for calls between processes. */
  readonly address: string;
  /** Unique for each run of the process. */
  readonly nonce: string;
  readonly createOwner: (
    claim: OwnershipClaim,
    onDeposed: (reason: string) => void,
  ) => PoolOwner;
  /** True if this entry can own the pool. */
  readonly isEligible: () => boolean;
}

/**
 * Elects one entry as the pool's owner. The owner's key is bound to its lease;
 * an entry that finds no such key claims it, the best candidates first. The
 * previous owner can't write any more, since each of its commits is conditional
 * on the key.
 */
export class PoolOwnership {
  private readonly ownerWatch: KeyWatch;
  private readonly entryRegistry: PoolEntryRegistry;
  private readonly renewalTimes: LatencyHistogram;
  private claimCount = 0;
  private currentOwner: PoolOwner | undefined;
  private claim: OwnershipClaim | undefined;
  /** Epoch of the last claim of this entry that the store was seen to hold. */
  private seenEpoch = -Infinity;
  private lastKnownOwner: KnownOwner | undefined;
  /** The value of the owner's key, as read last. */
  private ownerValue: StoredValue | undefined;
  private hasRead = false;
  private isClaiming = false;
  private closedReason: string | undefined;

  constructor(private readonly options: PoolOwnershipOptions) {
    const {store, clock, logger, health, metrics} = options;
    this.entryRegistry = new PoolEntryRegistry(options);
    this.renewalTimes = metrics.latency(
      'lease_renewal_seconds',
      "From the owner's renewal being sent to its answer.",
    );
    this.ownerWatch = new KeyWatch({
      store: {
        list: prefix => health.track(store.list(prefix)),
        changesAfter: (...parts) => store.changesAfter(...parts),
      },
      clock,
      key: StoreKeys.OWNER,
      readMillis: POLL_INTERVAL_MILLIS,
      onValue: value => this.acceptOwnerKey(value),
      onFailure: reason =>
        logger.event(Events.OPERATOR_KEYS_STALE, {reason, keys: 'owner'}),
    });
  }

  /** The owner in this process, once it has read its workflows. */
  get owner(): PoolOwner | undefined {
    return this.currentOwner?.isLoaded ? this.currentOwner : undefined;
  }

  get knownOwner(): KnownOwner | undefined {
    return this.lastKnownOwner;
  }

  start(): void {
    this.ownerWatch.start();
    void this.renew();
    void this.checkForBetterOwners();
  }

  /** Gives up the pool, so that another entry can claim it. */
  async close(reason: string): Promise<void> {
    this.closedReason = reason;
    this.ownerWatch.close();
    await this.resign(reason);
  }

  /** Called when this entry becomes eligible; claims a pool with no owner. */
  notifyEligible(): void {
    if (this.hasRead) this.acceptOwnerKey(this.ownerValue);
  }

  private acceptOwnerKey(ownerValue: StoredValue | undefined): void {
    this.ownerValue = ownerValue;
    this.hasRead = true;
    const record = ownerValue && decodeOwner(ownerValue.value);
    if (ownerValue && record) {
      this.lastKnownOwner = {
        address: record.address,
        epoch: ownerValue.revision,
      };
    }
    this.deposeIfRemoved(ownerValue);
    if (!this.isClaimable) return;
    if (!this.isClaiming) void this.claimUntilOwned();
  }

  /**
   * The key may be removed while its lease goes on. Another entry then owns the
   * pool, and an owner with nothing to commit would not notice.
   */
  private deposeIfRemoved(ownerValue: StoredValue | undefined): void {
    const epoch = this.claim?.epoch;
    if (epoch === undefined) return;
    if (ownerValue?.revision === epoch) this.seenEpoch = epoch;
    // A value that was read before the claim may arrive after it.
    else if (this.seenEpoch === epoch) this.depose('its key was removed');
  }

  /** True if there is no owner, or it is an earlier run of this process. */
  private get isClaimable(): boolean {
    if (this.claim || this.closedReason !== undefined) return false;
    if (!this.options.isEligible()) return false;
    const record = this.ownerValue && decodeOwner(this.ownerValue.value);
    return !record || record.processName === this.options.processName;
  }

  private async claimUntilOwned(): Promise<void> {
    this.isClaiming = true;
    let pauseMillis = CLAIM_RETRY_MILLIS;
    try {
      while (this.isClaimable) {
        try {
          await this.claimOnce();
        } catch (error) {
          const reason = messageOf(error);
          this.options.logger.event(Events.POOL_CLAIM_FAILED, {reason});
          await pause(this.options.clock, pauseMillis);
          pauseMillis = Math.min(2 * pauseMillis, MAXIMUM_CLAIM_RETRY_MILLIS);
        }
      }
    } finally {
      this.isClaiming = false;
    }
  }

  private async claimOnce(): Promise<void> {
    const {store, clock, processName} = this.options;
    const record = this.ownerValue && decodeOwner(this.ownerValue.value);
    if (record) {
      // An earlier run of this process, or a claim whose response was lost.
      await store.revokeLease(record.leaseId);
      this.ownerValue = undefined;
    } else {
      const delay = claimDelayMillis(
        processName,
        await this.entryRegistry.candidates(),
      );
      await pause(clock, delay);
    }
    if (!this.isClaimable) return;
    await this.tryClaim(this.ownerValue?.revision ?? 0);
  }

  private async tryClaim(expectedRevision: number): Promise<void> {
    const {store, clock, processName, address} = this.options;
    const commits = await store.get(StoreKeys.COMMITS);
    const isSole = await this.hasPredecessorEnded(commits);
    const validity = new LeaseValidity(clock, OWNER_TTL_MILLIS);
    const sentAt = readClocks(clock);
    const lease = await store.grantLease(OWNER_TTL_MILLIS);
    validity.recordRenewal(sentAt);
    const owner: OwnerRecord = {
      processName,
      address,
      nonce: `${this.options.nonce}-${++this.claimCount}`,
      leaseId: lease.id,
    };
    const value = encodeRecord(owner);
    const {nonce, leaseId} = owner;
    const firstCommit = encodeRecord({nonce, sequence: 0, leaseId, isSole});
    const result = await store.transact({
      conditions: [
        {key: StoreKeys.OWNER, revision: expectedRevision},
        {key: StoreKeys.COMMITS, revision: commits?.revision ?? 0},
      ],
      puts: [
        {key: StoreKeys.OWNER, value, leaseId: lease.id},
        {key: StoreKeys.COMMITS, value: firstCommit},
      ],
    });
    if (!result.succeeded) {
      this.acceptOtherOwner(result.current);
      await store.revokeLease(lease.id);
      return;
    }
    await this.becomeOwner({owner, epoch: result.revision, validity, isSole});
  }

  /**
   * True if no earlier owner can act any more. The last one stops before its
   * lease ends, which is revoked only by itself or by its next process run; the
   * ones before had to be unable to act before.
   */
  private async hasPredecessorEnded(
    commits: StoredValue | undefined,
  ): Promise<boolean> {
    if (!commits) return true;
    const record = decodeCommit(commits.value);
    if (!record?.isSole || record.leaseId === undefined) return false;
    return !(await this.options.store.keepLeaseAlive(record.leaseId));
  }

  private async becomeOwner(claim: OwnershipClaim): Promise<void> {
    if (this.closedReason !== undefined) {
      await this.options.store.revokeLease(claim.owner.leaseId);
      return;
    }
    this.claim = claim;
    this.lastKnownOwner = {address: this.options.address, epoch: claim.epoch};
    const owner = this.options.createOwner(claim, reason => {
      if (this.claim === claim) this.depose(reason);
    });
    this.currentOwner = owner;
    try {
      await owner.load();
    } catch (error) {
      this.depose(`its workflows could not be read: ${messageOf(error)}`);
      await this.options.store.revokeLease(claim.owner.leaseId);
    }
  }

  private acceptOtherOwner(currentValues: readonly StoredValue[]): void {
    const ownerValue = currentValues.find(({key}) => key === StoreKeys.OWNER);
    if (ownerValue) this.acceptOwnerKey(ownerValue);
  }

  /** Gives up the pool and revokes the lease; others can claim it at once. */
  private async resign(reason: string): Promise<void> {
    const {claim} = this;
    this.depose(reason);
    if (!claim) return;
    try {
      await this.options.store.revokeLease(claim.owner.leaseId);
    } catch (error) {
      const message = messageOf(error);
      this.options.logger.event(Events.HAND_OVER_FAILED, {reason: message});
    }
  }

  private depose(reason: string): void {
    const {claim, currentOwner} = this;
    this.claim = undefined;
    this.currentOwner = undefined;
    if (!claim) return;
    // Forces the claim delay, so that better candidates claim first.
    this.ownerValue = undefined;
    this.options.logger.event(Events.POOL_LOST, {reason, epoch: claim.epoch});
    currentOwner?.close(reason);
    // The watch may not report a change: it may have seen this value before.
    if (!this.isClaiming && this.isClaimable) void this.claimUntilOwned();
  }

  private async renew(): Promise<void> {
    while (this.closedReason === undefined) {
      const renewed = await this.renewOnce();
      this.deposeIfExpired();
      await pause(
        this.options.clock,
        renewed ? RENEWAL_MILLIS : RENEWAL_RETRY_MILLIS,
      );
    }
  }

  /**
   * Agents have to find the new owner once there may be one, even if only this
   * entry can't reach the store and so is not told.
   */
  private deposeIfExpired(): void {
    const {claim} = this;
    if (!claim || claim.validity.isValid) return;
    this.depose('its lease could not be renewed in time');
  }

  private async renewOnce(): Promise<boolean> {
    const {claim} = this;
    if (!claim) return true;
    const {store, health, clock} = this.options;
    const sentAt = readClocks(clock);
    try {
      const renewal = health.track(store.keepLeaseAlive(claim.owner.leaseId));
      const isAlive = await withDeadline(
        clock,
        RENEWAL_TIMEOUT_MILLIS,
        renewal,
      );
      this.renewalTimes.record(clock.now() - sentAt.monotonicMillis);
      if (isAlive === undefined) return false;
      if (isAlive) claim.validity.recordRenewal(sentAt);
      else if (this.claim === claim) this.depose('its lease has expired');
      return true;
    } catch (error) {
      const reason = messageOf(error);
      this.options.logger.event(Events.COMMIT_RETRIED, {
        reason,
        renewal: true,
      });
      return false;
    }
  }

  private async checkForBetterOwners(): Promise<void> {
    while (this.closedReason === undefined) {
      await pause(this.options.clock, HAND_OVER_CHECK_MILLIS);
      if (!this.owner) continue;
      try {
        await this.handOverIfBetter();
      } catch (error) {
        const reason = messageOf(error);
        this.options.logger.event(Events.HAND_OVER_FAILED, {reason});
      }
    }
  }

  /** Gives up the pool if an entry with more capacity responds. */
  private async handOverIfBetter(): Promise<void> {
    const {processName} = this.options;
    const [better] = betterOwners(
      processName,
      await this.entryRegistry.candidates(),
    );
    if (!better || !(await this.entryRegistry.isResponding(better.processName)))
      return;
    if (this.closedReason !== undefined) return;
    await this.resign(`${better.processName} has more capacity`);
  }
}

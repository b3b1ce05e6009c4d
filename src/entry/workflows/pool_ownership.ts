import type {TransactionalStore} from '../../backends/transactional_store.js';
import type {StoredValue} from '../../backends/store.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {withDeadline} from '../../utilities/deadline.js';
import {momentOf} from '../../utilities/moment.js';
import {LeaseValidity} from './lease_validity.js';
import {decodeOwner, encodeOwner} from '../../protocol/owner_record.js';
import type {OwnerRecord} from '../../protocol/owner_record.js';
import type {StoreHealth} from './store_health.js';
import type {PoolOwner} from './pool_owner.js';
import {StoreKeys} from '../../protocol/store_keys.js';
import {pause} from '../../utilities/pause.js';

/**
 * Time without the store after which another entry may own the pool; several
 * times the answers of a store that is a hundred times slower than usual.
 */
export const OWNER_TTL_MILLIS = 2_000;
/** Four tries within the life of the lease. */
const RENEWAL_MILLIS = 450;
const RENEWAL_RETRY_MILLIS = 150;
/** A renewal without an answer by then is sent anew. */
const RENEWAL_ANSWER_MILLIS = 600;
/** How soon a pool without an owner is noticed. */
const POLL_MILLIS = 300;

/** What a claim brought. */
export interface OwnershipClaim {
  readonly owner: OwnerRecord;
  readonly epoch: number;
  readonly revision: number;
  readonly validity: LeaseValidity;
}

/** Who owns the pool, as far as this entry knows. */
export interface KnownOwner {
  readonly address: string;
  readonly epoch: number;
}

export interface PoolOwnershipOptions {
  readonly store: TransactionalStore;
  readonly health: StoreHealth;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly processName: string;
  /** HOST:PORT for calls between processes. */
  readonly address: string;
  /** Differs for each life of the process. */
  readonly nonce: string;
  readonly createOwner: (
    claim: OwnershipClaim,
    onDeposed: (reason: string) => void,
  ) => PoolOwner;
  /** Whether this entry can own the pool at all. */
  readonly isEligible: () => boolean;
}

/**
 * Sees to it that one entry owns the pool. The owner's key stands under its
 * lease; whoever finds no such key claims it. The process that had it before
 * can write nothing more, since each of its commits rewrites the key.
 */
export class PoolOwnership {
  private claims = 0;
  private present: PoolOwner | undefined;
  private claim: OwnershipClaim | undefined;
  private knownOwner: KnownOwner | undefined;
  private closedReason: string | undefined;

  constructor(private readonly options: PoolOwnershipOptions) {}

  /** The owner in this process, once it has read its workflows. */
  get owner(): PoolOwner | undefined {
    return this.present?.isLoaded ? this.present : undefined;
  }

  get known(): KnownOwner | undefined {
    return this.knownOwner;
  }

  start(): void {
    void this.watchOwner();
    void this.renew();
  }

  /** Hands the pool over: the next entry that looks finds no owner. */
  async close(reason: string): Promise<void> {
    this.closedReason = reason;
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

  private async watchOwner(): Promise<void> {
    while (this.closedReason === undefined) {
      try {
        await this.look();
      } catch (error) {
        const reason = messageOf(error);
        this.options.logger.event(Events.POOL_CLAIM_FAILED, {reason});
      }
      await pause(this.options.clock, POLL_MILLIS);
    }
  }

  private async look(): Promise<void> {
    if (this.claim) return;
    const {store, health, processName} = this.options;
    const standing = await health.watch(store.get(StoreKeys.OWNER));
    const record = standing && decodeOwner(standing.value);
    if (!standing || !record) return this.tryClaim(standing?.revision ?? 0);
    this.knownOwner = {address: record.address, epoch: record.epoch ?? 0};
    if (record.processName !== processName) return;
    // An earlier life of this process, or a claim whose answer was lost.
    await store.revokeLease(record.leaseId);
    await this.tryClaim(0);
  }

  private async tryClaim(expectedRevision: number): Promise<void> {
    if (this.closedReason !== undefined || !this.options.isEligible()) return;
    const {store, clock, processName, address} = this.options;
    const validity = new LeaseValidity(clock, OWNER_TTL_MILLIS);
    const moment = momentOf(clock);
    const lease = await store.grantLease(OWNER_TTL_MILLIS);
    validity.noteRenewal(moment);
    const owner: OwnerRecord = {
      processName,
      address,
      nonce: `${this.options.nonce}-${++this.claims}`,
      leaseId: lease.id,
      sequence: 0,
    };
    const result = await store.transact({
      conditions: [{key: StoreKeys.OWNER, revision: expectedRevision}],
      puts: [
        {
          key: StoreKeys.OWNER,
          value: encodeOwner(owner),
          leaseId: lease.id,
        },
      ],
    });
    if (!result.succeeded) {
      this.noteOther(result.current);
      await store.revokeLease(lease.id);
      return;
    }
    const epoch = result.revision;
    await this.own({
      owner: {...owner, epoch},
      epoch,
      revision: epoch,
      validity,
    });
  }

  private async own(claim: OwnershipClaim): Promise<void> {
    if (this.closedReason !== undefined) {
      await this.options.store.revokeLease(claim.owner.leaseId);
      return;
    }
    this.claim = claim;
    this.knownOwner = {address: this.options.address, epoch: claim.epoch};
    const owner = this.options.createOwner(claim, reason => {
      if (this.claim === claim) this.depose(reason);
    });
    this.present = owner;
    try {
      await owner.load();
    } catch (error) {
      this.depose(`its workflows could not be read: ${messageOf(error)}`);
      await this.options.store.revokeLease(claim.owner.leaseId);
    }
  }

  private noteOther(current: readonly StoredValue[]): void {
    const record = current[0] && decodeOwner(current[0].value);
    if (!record) return;
    this.knownOwner = {address: record.address, epoch: record.epoch ?? 0};
  }

  private depose(reason: string): void {
    const {claim, present} = this;
    this.claim = undefined;
    this.present = undefined;
    if (!claim) return;
    this.options.logger.event(Events.POOL_LOST, {reason, epoch: claim.epoch});
    present?.close(reason);
  }

  private async renew(): Promise<void> {
    while (this.closedReason === undefined) {
      const renewed = await this.renewOnce();
      this.deposeIfLapsed();
      await pause(
        this.options.clock,
        renewed ? RENEWAL_MILLIS : RENEWAL_RETRY_MILLIS,
      );
    }
  }

  /**
   * Agents have to look for another owner once there may be one, also if this
   * entry alone can't reach the store and nothing tells it.
   */
  private deposeIfLapsed(): void {
    const {claim} = this;
    if (!claim || claim.validity.isValid) return;
    this.depose('its lease could not be renewed in time');
  }

  private async renewOnce(): Promise<boolean> {
    const {claim} = this;
    if (!claim) return true;
    const {store, health, clock} = this.options;
    const moment = momentOf(clock);
    try {
      const renewal = health.watch(store.keepLeaseAlive(claim.owner.leaseId));
      const holds = await withDeadline(clock, RENEWAL_ANSWER_MILLIS, renewal);
      if (holds === undefined) return false;
      if (holds) claim.validity.noteRenewal(moment);
      else if (this.claim === claim) this.depose('its lease has lapsed');
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
}

import {StoreRefusedError} from '../../backends/platform_errors.js';
import {ABSENT_REVISION} from '../../backends/store.js';
import type {StoredValue} from '../../backends/store.js';
import {TokenBucket} from '../../backends/token_bucket.js';
import {LEASE_ENDED_REASON} from '../../backends/transactional_store.js';
import type {
  TransactionalStore,
  TransactionResult,
} from '../../backends/transactional_store.js';
import {
  isRefusal,
  isTombstone,
  TOMBSTONE,
} from '../../decisions/workflows/workflow_codec.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {cancelKey, refusedKey, specKey} from '../../protocol/store_keys.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {withDeadline} from '../../utilities/deadline.js';
import type {OwnerClient} from './owner_client.js';
import type {StoreHealth} from './store_health.js';
import {Acceptance} from './workflow_acceptor.js';

/**
 * Time for the store to respond before the caller is told that the result is
 * unknown: well above slow responses, and well below callers' deadlines.
 */
const STORE_TIMEOUT_MILLIS = 900;
/** The record of a workflow changes when it is accepted, and when it ends. */
const MAXIMUM_TRIES = 4;
/** Limits for cancellations of workflows that are not stored, an entry. */
const TOMBSTONES_PER_SECOND = 10;
const TOMBSTONE_BURST = 50;
/**
 * Late writes and repeats of submissions come within seconds. Until then a
 * workflow that is submitted again on purpose is taken for a repeat.
 */
const TOMBSTONE_MILLIS = 60_000;
/** Tombstones share a lease for this long, which saves calls. */
const LEASE_SHARING_MILLIS = 30_000;

export interface WorkflowCancellerOptions {
  readonly store: TransactionalStore;
  readonly health: StoreHealth;
  readonly owner: OwnerClient;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A lease of the store for the tombstones of the next time. */
interface SharedLease {
  readonly id: string;
  readonly sharedUntil: number;
}

/**
 * Stores cancellations. A workflow that is not stored may be the subject of a
 * write that is still on its way: a tombstone takes its key until such a write,
 * or a repeat of its submission, can no longer come.
 */
export class WorkflowCanceller {
  private readonly tombstoneBudget: TokenBucket;
  private lease: Promise<SharedLease> | undefined;

  constructor(private readonly options: WorkflowCancellerOptions) {
    this.tombstoneBudget = new TokenBucket(
      TOMBSTONES_PER_SECOND,
      TOMBSTONE_BURST,
      options.clock.now(),
    );
  }

  /** Resolves at the latest a second after the call. */
  async cancel(id: string): Promise<Acceptance> {
    const {clock, health} = this.options;
    if (health.isUnavailable)
      return this.refuse(id, 'the store is unavailable');
    const stored = this.storeCancellation(id);
    const acceptance = await withDeadline(clock, STORE_TIMEOUT_MILLIS, stored);
    return (
      acceptance ?? this.reportUnknown(id, 'the store did not respond in time')
    );
  }

  private async storeCancellation(id: string): Promise<Acceptance> {
    const {store, health, clock} = this.options;
    try {
      let record = await health.track(store.get(specKey(id)));
      for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
        if (record && isTombstone(record.value)) return Acceptance.ABSENT;
        const isStored = record !== undefined && !isRefusal(record.value);
        if (!isStored && !this.tombstoneBudget.tryTake(clock.now()))
          return this.refuse(id, 'too many at once');
        const result = await this.write(id, record);
        if (result.succeeded) return this.recordStored(id, !isStored);
        record = result.current.find(({key}) => key === specKey(id));
      }
      return this.reportUnknown(id, 'its record changes all the time');
    } catch (error) {
      const reason = messageOf(error);
      return error instanceof StoreRefusedError
        ? this.refuse(id, reason)
        : this.reportUnknown(id, reason);
    }
  }

  /** Each write is made on condition that the record has not changed. */
  private write(
    id: string,
    record: StoredValue | undefined,
  ): Promise<TransactionResult> {
    if (!record) return this.writeTombstone(id);
    return isRefusal(record.value)
      ? this.rewriteRefusal(id, record)
      : this.writeCancellation(id, record);
  }

  private writeCancellation(
    id: string,
    {revision}: StoredValue,
  ): Promise<TransactionResult> {
    const {store, health} = this.options;
    const write = store.transact({
      conditions: [{key: specKey(id), revision}],
      puts: [{key: cancelKey(id), value: ''}],
    });
    return health.track(write);
  }

  /** Voids the write of an accepted retry, which depends on the revision. */
  private rewriteRefusal(
    id: string,
    {revision, value}: StoredValue,
  ): Promise<TransactionResult> {
    const {store, health} = this.options;
    const write = store.transact({
      conditions: [{key: specKey(id), revision}],
      puts: [
        {key: specKey(id), value},
        {key: refusedKey(id), value: ''},
      ],
    });
    return health.track(write);
  }

  private async writeTombstone(id: string): Promise<TransactionResult> {
    try {
      return await this.tryWriteTombstone(id);
    } catch (error) {
      if (messageOf(error) !== LEASE_ENDED_REASON) throw error;
      this.lease = undefined;
      return this.tryWriteTombstone(id);
    }
  }

  private async tryWriteTombstone(id: string): Promise<TransactionResult> {
    const {store, health} = this.options;
    const {id: leaseId} = await this.sharedLease();
    const write = store.transact({
      conditions: [{key: specKey(id), revision: ABSENT_REVISION}],
      puts: [{key: specKey(id), value: TOMBSTONE, leaseId}],
    });
    return health.track(write);
  }

  private sharedLease(): Promise<SharedLease> {
    const lease = this.lease ?? this.grantLease();
    this.lease = lease;
    return lease.then(
      granted => {
        if (this.options.clock.now() < granted.sharedUntil) return granted;
        if (this.lease === lease) this.lease = undefined;
        return this.sharedLease();
      },
      (error: unknown) => {
        if (this.lease === lease) this.lease = undefined;
        throw error;
      },
    );
  }

  /** The lease is not renewed, so its keys are removed some time later. */
  private async grantLease(): Promise<SharedLease> {
    const {store, health, clock} = this.options;
    const grantedAt = clock.now();
    const ttlMillis = TOMBSTONE_MILLIS + LEASE_SHARING_MILLIS;
    const {id} = await health.track(store.grantLease(ttlMillis));
    return {id, sharedUntil: grantedAt + LEASE_SHARING_MILLIS};
  }

  private recordStored(id: string, isAbsent: boolean): Acceptance {
    const {logger, owner} = this.options;
    logger.event(Events.WORKFLOW_CANCELLED, {workflow: id, isAbsent});
    if (isAbsent) return Acceptance.ABSENT;
    owner.notifyCancelled(id);
    return Acceptance.STORED;
  }

  private refuse(id: string, reason: string): Acceptance {
    const fields = {workflow: id, reason};
    this.options.logger.event(Events.CANCELLATION_REFUSED, fields);
    return Acceptance.REFUSED;
  }

  private reportUnknown(id: string, reason: string): Acceptance {
    const fields = {workflow: id, reason};
    this.options.logger.event(Events.WORKFLOW_UNDECIDED, fields);
    return Acceptance.UNKNOWN;
  }
}

import type {Clock, Timer} from '../utilities/clock.js';
import {StoreBudgetError} from './platform_errors.js';
import type {
  Store,
  StoredValue,
  StoreLease,
  StoreList,
  StoreWatch,
  StoreWatcher,
  SwapResult,
} from './store.js';
import {TokenBucket} from './token_bucket.js';

const DEFAULT_WRITES_PER_SECOND = 200;
const DEFAULT_READS_PER_SECOND = 800;
const DEFAULT_ENTRIES = 1;
const DEFAULT_MAXIMUM_IN_FLIGHT = 32;
const DEFAULT_MAXIMUM_WAIT_MILLIS = 2_000;
/** Lease calls still go out when other calls reach the in-flight limit. */
const EXTRA_LEASE_CALLS_IN_FLIGHT = 4;
const BURST_SHARE_OF_RATE = 0.25;
const MINIMUM_BURST = 4;

export const StoreCallKind = {
  LEASE: 'lease',
  WRITE: 'write',
  READ: 'read',
  WATCH: 'watch',
} as const;
export type StoreCallKind = (typeof StoreCallKind)[keyof typeof StoreCallKind];

/** Order in which waiting calls are sent. */
const PRIORITY_ORDER = [
  StoreCallKind.LEASE,
  StoreCallKind.WRITE,
  StoreCallKind.READ,
];

export interface StoreCallCounts {
  readonly made: Readonly<Record<StoreCallKind, number>>;
  /** Calls rejected with a StoreBudgetError without being sent. */
  readonly rejected: number;
  readonly waiting: number;
  readonly inFlight: number;
}

export interface BudgetedStoreOptions {
  readonly store: Store;
  readonly clock: Clock;
  /** Limit for all entries together, as is `readsPerSecond`. */
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  /** Number of entries that share both rates equally. */
  readonly entries?: number;
  readonly maximumInFlight?: number;
  /** A call expected to wait longer is rejected immediately. */
  readonly maximumWaitMillis?: number;
}

interface WaitingCall {
  readonly expiresAt: number;
  run(): void;
  reject(error: Error): void;
}

/**
 * Limits the rate of calls to a store and the number of calls in flight. Calls
 * over the budget are queued, lease calls first; one that would wait too long
 * is rejected with a StoreBudgetError and not sent. Opening a watch counts as a
 * read.
 */
export class BudgetedStore implements Store {
  private readonly store: Store;
  private readonly clock: Clock;
  private readonly writes: TokenBucket;
  private readonly reads: TokenBucket;
  private readonly maximumInFlight: number;
  private readonly maximumWaitMillis: number;
  private readonly waiting = new Map<StoreCallKind, WaitingCall[]>(
    PRIORITY_ORDER.map(kind => [kind, []]),
  );
  private readonly made = {lease: 0, write: 0, read: 0, watch: 0};
  private rejected = 0;
  private inFlight = 0;
  private nextSendTimer?: Timer;

  constructor(options: BudgetedStoreOptions) {
    this.store = options.store;
    this.clock = options.clock;
    const entries = options.entries ?? DEFAULT_ENTRIES;
    const writes = options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND;
    const reads = options.readsPerSecond ?? DEFAULT_READS_PER_SECOND;
    this.writes = this.createBucket(writes / entries);
    this.reads = this.createBucket(reads / entries);
    this.maximumInFlight = options.maximumInFlight ?? DEFAULT_MAXIMUM_IN_FLIGHT;
    this.maximumWaitMillis =
      options.maximumWaitMillis ?? DEFAULT_MAXIMUM_WAIT_MILLIS;
  }

  counts(): StoreCallCounts {
    let waiting = 0;
    for (const queue of this.waiting.values()) waiting += queue.length;
    const {rejected, inFlight} = this;
    return {made: {...this.made}, rejected, waiting, inFlight};
  }

  get(key: string): Promise<StoredValue | undefined> {
    return this.admit(StoreCallKind.READ, () => this.store.get(key));
  }

  newest(prefix: string): Promise<StoredValue | undefined> {
    return this.admit(StoreCallKind.READ, () => this.store.newest(prefix));
  }

  list(
    prefix: string,
    options?: {afterKey?: string; limit?: number},
  ): Promise<StoreList> {
    return this.admit(StoreCallKind.READ, () =>
      this.store.list(prefix, options),
    );
  }

  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: string,
    options?: {leaseId?: string},
  ): Promise<SwapResult> {
    return this.admit(StoreCallKind.WRITE, () =>
      this.store.compareAndSwap(key, expectedRevision, value, options),
    );
  }

  compareAndDelete(key: string, expectedRevision: number): Promise<SwapResult> {
    return this.admit(StoreCallKind.WRITE, () =>
      this.store.compareAndDelete(key, expectedRevision),
    );
  }

  deleteRange(firstKey: string, endKey: string): Promise<void> {
    return this.admit(StoreCallKind.WRITE, () =>
      this.store.deleteRange(firstKey, endKey),
    );
  }

  grantLease(ttlMillis: number): Promise<StoreLease> {
    return this.admit(StoreCallKind.LEASE, () =>
      this.store.grantLease(ttlMillis),
    );
  }

  keepLeaseAlive(leaseId: string): Promise<number> {
    return this.admit(StoreCallKind.LEASE, () =>
      this.store.keepLeaseAlive(leaseId),
    );
  }

  revokeLease(leaseId: string): Promise<void> {
    return this.admit(StoreCallKind.LEASE, () =>
      this.store.revokeLease(leaseId),
    );
  }

  watch(
    prefix: string,
    fromRevision: number,
    watcher: StoreWatcher,
  ): StoreWatch {
    this.reads.takeInAdvance(this.clock.now());
    this.made.watch++;
    return this.store.watch(prefix, fromRevision, watcher);
  }

  close(reason: string): void {
    this.nextSendTimer?.cancel();
    for (const queue of this.waiting.values()) {
      for (const call of queue.splice(0)) {
        call.reject(new StoreBudgetError(reason));
      }
    }
    this.store.close(reason);
  }

  private createBucket(ratePerSecond: number): TokenBucket {
    const burst = Math.max(MINIMUM_BURST, ratePerSecond * BURST_SHARE_OF_RATE);
    return new TokenBucket(ratePerSecond, burst, this.clock.now());
  }

  private admit<Result>(
    kind: StoreCallKind,
    call: () => Promise<Result>,
  ): Promise<Result> {
    const wait = this.expectedWaitMillis(kind);
    if (wait > this.maximumWaitMillis) {
      this.rejected++;
      const message = `A ${kind} call to the store was rejected: the call budget would delay it by ${wait} ms.`;
      return Promise.reject(new StoreBudgetError(message));
    }
    return new Promise((resolve, reject) => {
      const run = () => {
        this.made[kind]++;
        this.inFlight++;
        call()
          .then(resolve, reject)
          .finally(() => this.onCallFinished());
      };
      const expiresAt = this.clock.now() + this.maximumWaitMillis;
      this.queueOf(kind).push({expiresAt, run, reject});
      this.sendWaitingCalls();
    });
  }

  private onCallFinished(): void {
    this.inFlight--;
    this.sendWaitingCalls();
  }

  private sendWaitingCalls(): void {
    this.nextSendTimer?.cancel();
    this.nextSendTimer = undefined;
    let wait = Infinity;
    for (const kind of PRIORITY_ORDER) {
      this.rejectExpired(kind);
      wait = Math.min(wait, this.sendWaitingCallsOf(kind));
    }
    if (wait === Infinity) return;
    this.nextSendTimer = this.clock.schedule(wait, () =>
      this.sendWaitingCalls(),
    );
  }

  private rejectExpired(kind: StoreCallKind): void {
    const queue = this.queueOf(kind);
    const now = this.clock.now();
    while (queue.length > 0 && queue[0].expiresAt <= now) {
      this.rejected++;
      const message = `A ${kind} call to the store was rejected: it waited ${this.maximumWaitMillis} ms for the call budget.`;
      queue.shift()?.reject(new StoreBudgetError(message));
    }
  }

  /**
   * Sends the waiting calls that the budget allows. Returns the milliseconds
   * until the next permit or expiry, Infinity if no call is left waiting.
   */
  private sendWaitingCallsOf(kind: StoreCallKind): number {
    const queue = this.queueOf(kind);
    const bucket = this.bucketOf(kind);
    const now = this.clock.now();
    while (queue.length > 0) {
      const expiry = queue[0].expiresAt - now;
      if (this.inFlight >= this.inFlightLimit(kind)) return expiry;
      if (!bucket.tryTake(now)) {
        return Math.min(expiry, bucket.millisUntil(1, now));
      }
      queue.shift()?.run();
    }
    return Infinity;
  }

  private inFlightLimit(kind: StoreCallKind): number {
    if (kind !== StoreCallKind.LEASE) return this.maximumInFlight;
    return this.maximumInFlight + EXTRA_LEASE_CALLS_IN_FLIGHT;
  }

  /**
   * Returns the wait of a call that arrives now, by the rate limit alone: the
   * in-flight limit is not considered.
   */
  private expectedWaitMillis(kind: StoreCallKind): number {
    let queuedBefore = 0;
    for (const each of PRIORITY_ORDER) {
      if (this.bucketOf(each) !== this.bucketOf(kind)) continue;
      queuedBefore += this.queueOf(each).length;
      if (each === kind) break;
    }
    return this.bucketOf(kind).millisUntil(queuedBefore + 1, this.clock.now());
  }

  private bucketOf(kind: StoreCallKind): TokenBucket {
    return kind === StoreCallKind.READ ? this.reads : this.writes;
  }

  private queueOf(kind: StoreCallKind): WaitingCall[] {
    return this.waiting.get(kind) ?? [];
  }
}

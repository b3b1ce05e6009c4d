import {StoreUnavailableError} from '../../src/backends/platform_errors.js';
import type {
  Store,
  StoredValue,
  StoreLease,
  StoreList,
  StoreWatch,
  SwapResult,
} from '../../src/backends/store.js';
import type {Clock} from '../../src/utilities/clock.js';
import {StoreTable} from './store_table.js';

const DEFAULT_TIMEOUT_MILLIS = 2_000;

/** Faults injected into later calls; several may be set together. */
export interface MemoryStoreFaults {
  /** Every call fails and does nothing. */
  down: boolean;
  /** Extra round-trip time of each call. */
  delayMillis: number;
  /** Number of next replies to lose after the call took effect. */
  loseReplies: number;
  /** Number of next calls to lose before they consumeFault effect. */
  loseCalls: number;
}

/** Several stores, one for each process, may share the table. */
export interface MemoryStoreOptions {
  readonly clock: Clock;
  readonly table?: StoreTable;
  readonly latencyMillis?: number;
  readonly timeoutMillis?: number;
}

/** An in-memory store for tests with injectable faults. */
export class MemoryStore implements Store {
  readonly table: StoreTable;
  readonly faults: MemoryStoreFaults = {
    down: false,
    delayMillis: 0,
    loseReplies: 0,
    loseCalls: 0,
  };
  private readonly clock: Clock;
  private readonly latencyMillis: number;
  private readonly timeoutMillis: number;
  private calls = 0;

  constructor(options: MemoryStoreOptions) {
    this.clock = options.clock;
    this.table = options.table ?? new StoreTable(options.clock);
    this.latencyMillis = options.latencyMillis ?? 0;
    this.timeoutMillis = options.timeoutMillis ?? DEFAULT_TIMEOUT_MILLIS;
  }

  /** Returns the number of calls so far, including failed ones. */
  callCount(): number {
    return this.calls;
  }

  get(key: string): Promise<StoredValue | undefined> {
    return this.call(() => this.table.get(key));
  }

  newest(prefix: string): Promise<StoredValue | undefined> {
    return this.call(() => {
      const all = this.table.range(prefix, `${prefix}\uffff`);
      const newestFirst = all.sort((a, b) => b.revision - a.revision);
      return newestFirst[0];
    });
  }

  list(
    prefix: string,
    options: {afterKey?: string; limit?: number} = {},
  ): Promise<StoreList> {
    const {afterKey, limit = Infinity} = options;
    return this.call(() => {
      const first = afterKey === undefined ? prefix : `${afterKey}\0`;
      const all = this.table.range(first, `${prefix}\uffff`);
      const values = all.slice(0, limit);
      const more = values.length < all.length;
      return {values, revision: this.table.revision, more};
    });
  }

  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: string,
    options: {leaseId?: string} = {},
  ): Promise<SwapResult> {
    return this.call(() =>
      this.table.swap(key, expectedRevision, value, options.leaseId),
    );
  }

  compareAndDelete(key: string, expectedRevision: number): Promise<SwapResult> {
    return this.call(() => this.table.remove(key, expectedRevision));
  }

  async deleteRange(firstKey: string, endKey: string): Promise<void> {
    await this.call(() => this.table.removeRange(firstKey, endKey));
  }

  grantLease(ttlMillis: number): Promise<StoreLease> {
    return this.call(() => ({id: this.table.grantLease(ttlMillis), ttlMillis}));
  }

  keepLeaseAlive(leaseId: string): Promise<number> {
    return this.call(() => this.table.keepLeaseAlive(leaseId));
  }

  async revokeLease(leaseId: string): Promise<void> {
    await this.call(() => this.table.revokeLease(leaseId));
  }

  watch(): StoreWatch {
    throw new Error('MemoryStore does not support watches.');
  }

  close(): void {}

  /** Half of the latency elapses before the effect, half after it. */
  private async call<Result>(effect: () => Result): Promise<Result> {
    this.calls++;
    const startedAt = this.clock.now();
    const oneWay = (this.latencyMillis + this.faults.delayMillis) / 2;
    await this.pause(oneWay);
    if (this.faults.down) throw new StoreUnavailableError('The store is down');
    if (this.consumeFault('loseCalls')) throw await this.timeOut(startedAt);
    const loseReply = this.consumeFault('loseReplies');
    const result = this.apply(effect);
    if (loseReply) throw await this.timeOut(startedAt);
    const late = this.clock.now() + oneWay - startedAt > this.timeoutMillis;
    if (late) throw await this.timeOut(startedAt);
    await this.pause(oneWay);
    return result;
  }

  private apply<Result>(effect: () => Result): Result {
    try {
      return effect();
    } catch (thrown) {
      throw new StoreUnavailableError(String(thrown));
    }
  }

  private consumeFault(fault: 'loseReplies' | 'loseCalls'): boolean {
    if (this.faults[fault] <= 0) return false;
    this.faults[fault]--;
    return true;
  }

  private async timeOut(startedAt: number): Promise<Error> {
    const left = startedAt + this.timeoutMillis - this.clock.now();
    await this.pause(Math.max(0, left));
    return new StoreUnavailableError(
      `no response within ${this.timeoutMillis} ms`,
    );
  }

  private pause(delayMillis: number): Promise<void> {
    if (delayMillis <= 0) return Promise.resolve();
    return new Promise(resolve => this.clock.schedule(delayMillis, resolve));
  }
}

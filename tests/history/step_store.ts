import {StoreUnavailableError} from '../../src/platform/platform_errors.js';
import type {
  Store,
  StoredValue,
  StoreLease,
  StoreList,
  StoreWatch,
  SwapResult,
} from '../../src/platform/store.js';
import type {MemoryStore} from '../stand_ins/memory_store.js';
import type {ProcessClock} from './process_clock.js';
import type {Step, StepHooks} from './step_hooks.js';

/** One process's way to the store: tells of its steps, and can be cut. */
export class StepStore implements Store {
  /** Nothing gets through to the store. */
  cut = false;

  constructor(
    private readonly entry: string,
    private readonly memory: MemoryStore,
    private readonly clock: ProcessClock,
    private readonly hooks: StepHooks,
  ) {}

  get(key: string): Promise<StoredValue | undefined> {
    return this.run(undefined, () => this.memory.get(key));
  }

  newest(prefix: string): Promise<StoredValue | undefined> {
    return this.run(undefined, () => this.memory.newest(prefix));
  }

  list(
    prefix: string,
    options?: {afterKey?: string; limit?: number},
  ): Promise<StoreList> {
    return this.run(undefined, () => this.memory.list(prefix, options));
  }

  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: string,
    options?: {leaseId?: string},
  ): Promise<SwapResult> {
    return this.run(kindOf(key), () =>
      this.memory.compareAndSwap(key, expectedRevision, value, options),
    );
  }

  compareAndDelete(key: string, expectedRevision: number): Promise<SwapResult> {
    return this.run(undefined, () =>
      this.memory.compareAndDelete(key, expectedRevision),
    );
  }

  deleteRange(firstKey: string, endKey: string): Promise<void> {
    return this.run(undefined, () => this.memory.deleteRange(firstKey, endKey));
  }

  grantLease(ttlMillis: number): Promise<StoreLease> {
    return this.run(undefined, () => this.memory.grantLease(ttlMillis));
  }

  keepLeaseAlive(leaseId: string): Promise<number> {
    return this.run('keepAlive', () => this.memory.keepLeaseAlive(leaseId));
  }

  revokeLease(leaseId: string): Promise<void> {
    return this.run(undefined, () => this.memory.revokeLease(leaseId));
  }

  watch(): StoreWatch {
    throw new Error('Entries do not watch.');
  }

  close(): void {}

  private async run<Result>(
    kind: string | undefined,
    call: () => Promise<Result>,
  ): Promise<Result> {
    if (kind) this.reached(`${kind}.before`);
    await this.clock.resumed();
    if (this.cut) {
      await new Promise<void>(resolve => this.clock.schedule(2_000, resolve));
      throw new StoreUnavailableError('no answer in 2000 ms');
    }
    const result = await call();
    if (kind) this.reached(`${kind}.after`);
    await this.clock.resumed();
    return result;
  }

  private reached(step: string): void {
    this.hooks.reached(step as Step, {entry: this.entry});
  }
}

function kindOf(key: string): string | undefined {
  if (key.startsWith('shards/')) return 'claim';
  if (key.includes('/log/')) return 'append';
  if (key.startsWith('settings/')) return 'settings';
  if (key.startsWith('entries/')) return 'register';
  return undefined;
}

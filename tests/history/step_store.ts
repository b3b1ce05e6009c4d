import {StoreUnavailableError} from '../../src/backends/platform_errors.js';
import type {Store} from '../../src/backends/store.js';
import {intercept} from '../stand_ins/intercept.js';
import type {MemoryStore} from '../stand_ins/memory_store.js';
import type {ProcessClock} from './process_clock.js';
import type {Step, StepHooks} from './step_hooks.js';

/** One process's way to the store: tells of its steps, and can be cut. */
export class StepStore {
  /** Nothing gets through to the store. */
  cut = false;
  readonly store: Store;

  constructor(
    private readonly entry: string,
    memory: MemoryStore,
    private readonly clock: ProcessClock,
    private readonly hooks: StepHooks,
  ) {
    this.store = intercept<Store>(memory, (name, call, [key]) =>
      name === 'close' ? undefined : this.run(kindOf(name, String(key)), call),
    );
  }

  private async run(
    kind: string | undefined,
    call: () => unknown,
  ): Promise<unknown> {
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

function kindOf(name: string, key: string): string | undefined {
  if (name === 'keepLeaseAlive') return 'keepAlive';
  if (name !== 'compareAndSwap') return undefined;
  if (key.startsWith('shards/')) return 'claim';
  if (key.includes('/log/')) return 'append';
  if (key.startsWith('settings/')) return 'settings';
  if (key.startsWith('entries/')) return 'register';
  return undefined;
}

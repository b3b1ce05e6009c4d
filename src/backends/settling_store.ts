import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import type {Random} from '../utilities/random.js';
import {StoreBudgetError} from './platform_errors.js';
import {ABSENT_REVISION} from './store.js';
import type {Store, StoredValue, SwapResult} from './store.js';
import {pause} from '../utilities/pause.js';

const DEFAULT_FIRST_BACKOFF_MILLIS = 50;
const DEFAULT_MAXIMUM_BACKOFF_MILLIS = 1_000;
const DEFAULT_DEADLINE_MILLIS = 5_000;
const BACKOFF_JITTER_SHARE = 0.5;

export const SettledOutcome = {
  WRITTEN: 'written',
  /** Something else stands at the key; this write did not and won't happen. */
  CONFLICT: 'conflict',
  /** Nothing was sent: the budget allowed no call until the deadline. */
  NOT_WRITTEN: 'notWritten',
  /** The write may have happened, or may still happen. */
  UNKNOWN: 'unknown',
} as const;
export type SettledOutcome =
  (typeof SettledOutcome)[keyof typeof SettledOutcome];

export interface SettledWrite {
  readonly outcome: SettledOutcome;
  /** The key's revision if written, else the store's as far as it is known. */
  readonly revision: number;
  /** What stands at the key instead. */
  readonly current?: StoredValue;
  /** Why the outcome is unknown. */
  readonly reason?: string;
}

export interface SettleOptions {
  readonly leaseId?: string;
  /** How long to go on for a known outcome. */
  readonly deadlineMillis?: number;
  /**
   * Whether what stands at the key is this write or was made on top of it.
   * By default only the very same value is.
   */
  readonly descendsFrom?: (current: StoredValue) => boolean;
}

export interface SettlingStoreOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  readonly firstBackoffMillis?: number;
  readonly maximumBackoffMillis?: number;
}

/**
 * Compare-and-swap with a known outcome. After a lost reply the key is read
 * again and compared; a write that did not take effect is repeated with
 * back-off until the deadline. Values must differ between writers and writes,
 * so they carry a nonce.
 */
export class SettlingStore {
  private readonly firstBackoffMillis: number;
  private readonly maximumBackoffMillis: number;

  constructor(private readonly options: SettlingStoreOptions) {
    this.firstBackoffMillis =
      options.firstBackoffMillis ?? DEFAULT_FIRST_BACKOFF_MILLIS;
    this.maximumBackoffMillis =
      options.maximumBackoffMillis ?? DEFAULT_MAXIMUM_BACKOFF_MILLIS;
  }

  async swap(
    key: string,
    expectedRevision: number,
    value: string,
    options: SettleOptions = {},
  ): Promise<SettledWrite> {
    const {store, clock} = this.options;
    const {leaseId, deadlineMillis = DEFAULT_DEADLINE_MILLIS} = options;
    const deadline = clock.now() + deadlineMillis;
    const settlement = new Settlement(expectedRevision, value, options);
    let backoff = this.firstBackoffMillis;
    for (;;) {
      const settled = await settlement.take(() =>
        settlement.mustRead
          ? readAsSwap(store, key, expectedRevision)
          : store.compareAndSwap(key, expectedRevision, value, {leaseId}),
      );
      if (settled) return settled;
      if (!settlement.failed) continue;
      const wait = this.options.random.jitter(backoff, BACKOFF_JITTER_SHARE);
      if (clock.now() + wait >= deadline) return settlement.giveUp();
      await pause(clock, wait);
      backoff = Math.min(2 * backoff, this.maximumBackoffMillis);
    }
  }
}

/** What is known so far of one write. */
class Settlement {
  /** The last call failed. */
  failed = false;
  /** A write failed and the key was not read since. */
  mustRead = false;
  /** A try of the write may have taken effect, or may yet. */
  private mayHaveWritten = false;
  private reason = '';

  constructor(
    private readonly expectedRevision: number,
    private readonly value: string,
    private readonly options: SettleOptions,
  ) {}

  /** Makes one call; undefined while the outcome is open. */
  async take(
    call: () => Promise<SwapResult>,
  ): Promise<SettledWrite | undefined> {
    const reading = this.mustRead;
    try {
      const result = await call();
      this.failed = false;
      this.mustRead = false;
      return this.judge(result, reading);
    } catch (thrown) {
      this.failed = true;
      this.reason = messageOf(thrown);
      const made = !(thrown instanceof StoreBudgetError);
      if (made) this.mustRead = true;
      if (made && !reading) this.mayHaveWritten = true;
      return undefined;
    }
  }

  giveUp(): SettledWrite {
    const {reason} = this;
    const outcome = this.mayHaveWritten
      ? SettledOutcome.UNKNOWN
      : SettledOutcome.NOT_WRITTEN;
    return {outcome, revision: 0, reason};
  }

  private judge(
    result: SwapResult,
    reading: boolean,
  ): SettledWrite | undefined {
    const {revision, current} = result;
    if (result.succeeded) {
      // A read that found the expected revision only allows another try.
      return reading ? undefined : written(revision);
    }
    if (!this.mayHaveWritten) {
      return {outcome: SettledOutcome.CONFLICT, revision, current};
    }
    if (current?.value === this.value) return written(current.revision);
    if (current && this.options.descendsFrom?.(current)) {
      return written(current.revision);
    }
    return this.judgeOverwritten(revision, current);
  }

  /** Another value may stand in place of this write, or on top of it. */
  private judgeOverwritten(
    revision: number,
    current: StoredValue | undefined,
  ): SettledWrite {
    const certain =
      this.options.descendsFrom || this.expectedRevision === ABSENT_REVISION;
    if (certain) return {outcome: SettledOutcome.CONFLICT, revision, current};
    const reason = 'the key was changed again since';
    return {outcome: SettledOutcome.UNKNOWN, revision, current, reason};
  }
}

function written(revision: number): SettledWrite {
  return {outcome: SettledOutcome.WRITTEN, revision};
}

/** Succeeds if a swap would still find the revision that it expects. */
async function readAsSwap(
  store: Store,
  key: string,
  expectedRevision: number,
): Promise<SwapResult> {
  const current = await store.get(key);
  const revision = current?.revision ?? ABSENT_REVISION;
  return {succeeded: revision === expectedRevision, revision, current};
}

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

export const WriteOutcome = {
  WRITTEN: 'written',
  /** The key has another value; the write did not and won't take effect. */
  CONFLICT: 'conflict',
  /** No write was sent: the call budget allowed none before the deadline. */
  NOT_WRITTEN: 'notWritten',
  /** The write may have taken effect, or may still do so. */
  UNKNOWN: 'unknown',
} as const;
export type WriteOutcome = (typeof WriteOutcome)[keyof typeof WriteOutcome];

export interface WriteResult {
  readonly outcome: WriteOutcome;
  /** The key's revision if written, else the last known one; 0 if unknown. */
  readonly revision: number;
  /** The value found at the key instead. */
  readonly current?: StoredValue;
  /** Why the outcome is unknown or no write was sent. */
  readonly reason?: string;
}

export interface ConfirmedWriteOptions {
  readonly leaseId?: string;
  /** Time after which an unknown outcome is reported as such. */
  readonly deadlineMillis?: number;
  /**
   * True if the current value is this write or a later one based on it. By
   * default, only the identical value counts as this write.
   */
  readonly includesWrite?: (current: StoredValue) => boolean;
}

export interface ConfirmingStoreOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  readonly firstBackoffMillis?: number;
  readonly maximumBackoffMillis?: number;
}

/**
 * Compare-and-swap that determines its outcome. After a lost reply, the key is
 * read and compared with the write; a write that did not take effect is retried
 * with back-off until the deadline. Each value must be unique, e.g. by a nonce,
 * so that a write is not confused with another.
 */
export class ConfirmingStore {
  private readonly firstBackoffMillis: number;
  private readonly maximumBackoffMillis: number;

  constructor(private readonly options: ConfirmingStoreOptions) {
    this.firstBackoffMillis =
      options.firstBackoffMillis ?? DEFAULT_FIRST_BACKOFF_MILLIS;
    this.maximumBackoffMillis =
      options.maximumBackoffMillis ?? DEFAULT_MAXIMUM_BACKOFF_MILLIS;
  }

  async swap(
    key: string,
    expectedRevision: number,
    value: string,
    options: ConfirmedWriteOptions = {},
  ): Promise<WriteResult> {
    const {store, clock} = this.options;
    const {leaseId, deadlineMillis = DEFAULT_DEADLINE_MILLIS} = options;
    const deadline = clock.now() + deadlineMillis;
    const pendingWrite = new PendingWrite(expectedRevision, value, options);
    let backoff = this.firstBackoffMillis;
    for (;;) {
      const settled = await pendingWrite.perform(() =>
        pendingWrite.mustReadKey
          ? readAsSwap(store, key, expectedRevision)
          : store.compareAndSwap(key, expectedRevision, value, {leaseId}),
      );
      if (settled) return settled;
      if (!pendingWrite.hasFailed) continue;
      const wait = this.options.random.jitter(backoff, BACKOFF_JITTER_SHARE);
      if (clock.now() + wait >= deadline) return pendingWrite.giveUp();
      await pause(clock, wait);
      backoff = Math.min(2 * backoff, this.maximumBackoffMillis);
    }
  }
}

/** The known state of one write. */
class PendingWrite {
  /** True if the last call failed. */
  hasFailed = false;
  /** True if a call failed and the key has not been read since. */
  mustReadKey = false;
  /** True if a sent write may have taken effect, or may still do so. */
  private mayHaveWritten = false;
  private reason = '';

  constructor(
    private readonly expectedRevision: number,
    private readonly value: string,
    private readonly options: ConfirmedWriteOptions,
  ) {}

  /** Makes one call; resolves to undefined while the outcome is open. */
  async perform(
    call: () => Promise<SwapResult>,
  ): Promise<WriteResult | undefined> {
    const isRead = this.mustReadKey;
    try {
      const result = await call();
      this.hasFailed = false;
      this.mustReadKey = false;
      return this.evaluate(result, isRead);
    } catch (thrown) {
      this.hasFailed = true;
      this.reason = messageOf(thrown);
      const wasSent = !(thrown instanceof StoreBudgetError);
      if (wasSent) this.mustReadKey = true;
      if (wasSent && !isRead) this.mayHaveWritten = true;
      return undefined;
    }
  }

  giveUp(): WriteResult {
    const {reason} = this;
    const outcome = this.mayHaveWritten
      ? WriteOutcome.UNKNOWN
      : WriteOutcome.NOT_WRITTEN;
    return {outcome, revision: 0, reason};
  }

  private evaluate(
    result: SwapResult,
    isRead: boolean,
  ): WriteResult | undefined {
    const {revision, current} = result;
    if (result.succeeded) {
      // A read that finds the expected revision only permits a retry.
      return isRead ? undefined : written(revision);
    }
    if (!this.mayHaveWritten) {
      return {outcome: WriteOutcome.CONFLICT, revision, current};
    }
    if (current?.value === this.value) return written(current.revision);
    if (current && this.options.includesWrite?.(current)) {
      return written(current.revision);
    }
    return this.evaluateOverwritten(revision, current);
  }

  /** The current value may have replaced this write or prevented it. */
  private evaluateOverwritten(
    revision: number,
    current: StoredValue | undefined,
  ): WriteResult {
    const isCertain =
      this.options.includesWrite || this.expectedRevision === ABSENT_REVISION;
    if (isCertain) return {outcome: WriteOutcome.CONFLICT, revision, current};
    const reason = 'the key has been changed by another writer';
    return {outcome: WriteOutcome.UNKNOWN, revision, current, reason};
  }
}

function written(revision: number): WriteResult {
  return {outcome: WriteOutcome.WRITTEN, revision};
}

/** Reads the key; succeeds if it still has the expected revision. */
async function readAsSwap(
  store: Store,
  key: string,
  expectedRevision: number,
): Promise<SwapResult> {
  const current = await store.get(key);
  const revision = current?.revision ?? ABSENT_REVISION;
  return {succeeded: revision === expectedRevision, revision, current};
}

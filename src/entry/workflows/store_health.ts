import type {Clock} from '../../utilities/clock.js';

/**
 * A store that responds to no call for this long counts as unavailable. Slow
 * responses take up to a hundred times the usual 4 ms.
 */
const UNAVAILABLE_AFTER_MILLIS = 700;

/** Detects from the response times of calls that the store is unavailable. */
export class StoreHealth {
  /** Calls in progress, with their send times. */
  private readonly pending = new Set<{readonly sentAt: number}>();
  private lastResponseAt: number;
  private failedSince: number | undefined;

  constructor(private readonly clock: Clock) {
    this.lastResponseAt = clock.now();
  }

  /** True if calls were made but none was answered for a while. */
  get isUnavailable(): boolean {
    return this.unansweredMillis > UNAVAILABLE_AFTER_MILLIS;
  }

  /** Time for which calls have gone unanswered; 0 if none has. */
  get unansweredMillis(): number {
    const now = this.clock.now();
    let longest = this.failedSince === undefined ? 0 : now - this.failedSince;
    for (const {sentAt} of this.pending) {
      const unansweredSince = Math.max(sentAt, this.lastResponseAt);
      longest = Math.max(longest, now - unansweredSince);
    }
    return longest;
  }

  /** Tracks a call, and passes on its result or error. */
  async track<Result>(call: Promise<Result>): Promise<Result> {
    const entry = {sentAt: this.clock.now()};
    this.pending.add(entry);
    try {
      const result = await call;
      this.lastResponseAt = this.clock.now();
      this.failedSince = undefined;
      return result;
    } catch (error) {
      if (entry.sentAt >= this.lastResponseAt) {
        this.failedSince = Math.min(
          this.failedSince ?? entry.sentAt,
          entry.sentAt,
        );
      }
      throw error;
    } finally {
      this.pending.delete(entry);
    }
  }
}

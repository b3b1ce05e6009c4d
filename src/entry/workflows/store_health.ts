import type {Clock} from '../../utilities/clock.js';

/**
 * A store that answers nothing for this long counts as away. Slow answers take
 * up to a hundred times the usual 4 ms.
 */
const AWAY_MILLIS = 700;

/** Whether calls to the store are worth their time. */
export class StoreHealth {
  /** When the calls under way were sent. */
  private readonly pending = new Set<{readonly sentAt: number}>();
  private answeredAt: number;
  private failedSince: number | undefined;

  constructor(private readonly clock: Clock) {
    this.answeredAt = clock.now();
  }

  /** No call has been answered for a while, though some were made. */
  get isAway(): boolean {
    return this.unansweredMillis > AWAY_MILLIS;
  }

  /** How long no call has been answered, of those that were made. */
  get unansweredMillis(): number {
    const now = this.clock.now();
    let longest = this.failedSince === undefined ? 0 : now - this.failedSince;
    for (const {sentAt} of this.pending) {
      const unansweredSince = Math.max(sentAt, this.answeredAt);
      longest = Math.max(longest, now - unansweredSince);
    }
    return longest;
  }

  /** Watches a call; what it brings goes on to the caller. */
  async watch<Result>(call: Promise<Result>): Promise<Result> {
    const entry = {sentAt: this.clock.now()};
    this.pending.add(entry);
    try {
      const result = await call;
      this.answeredAt = this.clock.now();
      this.failedSince = undefined;
      return result;
    } catch (error) {
      if (entry.sentAt >= this.answeredAt) {
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

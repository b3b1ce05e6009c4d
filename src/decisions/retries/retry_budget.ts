const DEFAULT_SHARE = 0.1;
/** Retries that may be saved up, and that a new budget begins with. */
const SAVED_RETRIES = 10;
/** So that a service with little traffic can repeat a request at all. */
const LEAST_RETRIES_A_SECOND = 0.5;
const MILLIS_PER_SECOND = 1000;

/**
 * Extra requests as a share of first ones, so that retries and hedges can't
 * feed an overload: when first requests fail in numbers, few are repeated.
 */
export class RetryBudget {
  private tokens = SAVED_RETRIES;
  private filledAt = 0;

  constructor(private share = DEFAULT_SHARE) {}

  setShare(share: number): void {
    this.share = share;
  }

  /** Counts a first request. */
  earn(now: number): void {
    this.fill(now);
    this.add(this.share);
  }

  /** Takes one extra request from the budget, when it has one. */
  spend(now: number): boolean {
    this.fill(now);
    if (this.tokens < 1 || this.share <= 0) return false;
    this.tokens--;
    return true;
  }

  private fill(now: number): void {
    const elapsedMillis = Math.max(0, now - this.filledAt);
    this.filledAt = Math.max(now, this.filledAt);
    this.add((elapsedMillis * LEAST_RETRIES_A_SECOND) / MILLIS_PER_SECOND);
  }

  private add(tokens: number): void {
    this.tokens = Math.min(SAVED_RETRIES, this.tokens + tokens);
  }
}

const DEFAULT_SHARE = 0.1;
/** Maximum of accumulated retries, which is also the initial budget. */
const MAXIMUM_ACCUMULATED_RETRIES = 10;
/** Allows a service with little traffic to retry at all. */
const MINIMUM_RETRIES_PER_SECOND = 0.5;
const MILLIS_PER_SECOND = 1000;

/**
 * Limits retries and hedges to a share of first requests, so that they can't
 * amplify an overload: when many first requests fail, few are retried.
 */
export class RetryBudget {
  private tokens = MAXIMUM_ACCUMULATED_RETRIES;
  private filledAt = 0;

  constructor(private share = DEFAULT_SHARE) {}

  setShare(share: number): void {
    this.share = share;
  }

  /** Adds to the budget for a first request. */
  earn(now: number): void {
    this.fill(now);
    this.add(this.share);
  }

  /** Takes an extra request from the budget; false if there is none. */
  spend(now: number): boolean {
    this.fill(now);
    if (this.tokens < 1 || this.share <= 0) return false;
    this.tokens--;
    return true;
  }

  private fill(now: number): void {
    const elapsedMillis = Math.max(0, now - this.filledAt);
    this.filledAt = Math.max(now, this.filledAt);
    this.add((elapsedMillis * MINIMUM_RETRIES_PER_SECOND) / MILLIS_PER_SECOND);
  }

  private add(tokens: number): void {
    this.tokens = Math.min(MAXIMUM_ACCUMULATED_RETRIES, this.tokens + tokens);
  }
}

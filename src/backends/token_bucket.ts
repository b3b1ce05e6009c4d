const MILLIS_PER_SECOND = 1_000;

/** A rate limit: permits refill at a constant rate, up to a burst. */
export class TokenBucket {
  private tokens: number;

  constructor(
    private readonly ratePerSecond: number,
    private readonly burst: number,
    private updatedAt: number,
  ) {
    this.tokens = burst;
  }

  /** Takes one permit if one is available. */
  tryTake(now: number): boolean {
    this.refill(now);
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }

  /** Takes one permit, also when none is available: later takers wait. */
  takeInAdvance(now: number): void {
    this.refill(now);
    this.tokens--;
  }

  /** Returns the milliseconds until `count` permits are available. */
  millisUntil(count: number, now: number): number {
    this.refill(now);
    const missing = count - this.tokens;
    if (missing <= 0) return 0;
    return Math.ceil((missing * MILLIS_PER_SECOND) / this.ratePerSecond);
  }

  private refill(now: number): void {
    const gained =
      ((now - this.updatedAt) * this.ratePerSecond) / MILLIS_PER_SECOND;
    this.tokens = Math.min(this.burst, this.tokens + Math.max(0, gained));
    this.updatedAt = now;
  }
}

/** Largest relative change that one sample makes. */
const STEP = 0.1;

/**
 * Follows a quantile of a stream with one number: each sample moves the
 * estimate up or down, in the proportion at which the quantile stays.
 */
export class QuantileTracker {
  private estimate: number | undefined;

  /** The quantile is a share, such as 0.95. */
  constructor(private readonly quantile: number) {}

  add(sample: number): void {
    if (this.estimate === undefined) {
      this.estimate = sample;
      return;
    }
    const change = sample > this.estimate ? this.quantile : this.quantile - 1;
    this.estimate *= 1 + STEP * change;
  }

  /** Undefined before the first sample. */
  value(): number | undefined {
    return this.estimate;
  }
}

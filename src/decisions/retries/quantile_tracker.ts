/** Upper limit of the relative change that one sample makes. */
const STEP = 0.1;

/**
 * Estimates a quantile of a stream in constant memory: each sample moves the
 * estimate up or down, by steps that balance out at the quantile.
 */
export class QuantileTracker {
  private estimate: number | undefined;

  /** The quantile is a fraction, such as 0.95. */
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

/** Enough values that the 90th percentile rests on six of them. */
const DEFAULT_CAPACITY = 64;

/** The latest values of a series, in bounded memory, with their quantiles. */
export class QuantileWindow {
  private readonly latest: number[] = [];
  private next = 0;
  private sorted: Float64Array | undefined;

  constructor(private readonly capacity = DEFAULT_CAPACITY) {}

  get size(): number {
    return this.latest.length;
  }

  get values(): readonly number[] {
    return this.latest;
  }

  /** Adds a value; it replaces the oldest one if the window is full. */
  add(value: number): void {
    this.latest[this.next] = value;
    this.next = (this.next + 1) % this.capacity;
    this.sorted = undefined;
  }

  /** Returns a quantile between 0 and 1; undefined without any values. */
  quantile(quantile: number): number | undefined {
    this.sorted ??= sortAscending(this.latest);
    return quantileOf(this.sorted, quantile);
  }
}

/** Typed arrays are sorted by number without a callback, which is faster. */
export function sortAscending(values: readonly number[]): Float64Array {
  return Float64Array.from(values).sort();
}

/** Returns the smallest value that is not below this share of the values. */
export function quantileOf(
  sorted: Float64Array,
  quantile: number,
): number | undefined {
  return sorted[Math.max(0, Math.ceil(quantile * sorted.length) - 1)];
}

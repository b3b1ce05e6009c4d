import {QuantileWindow} from './quantile_window.js';

/** Limits the memory, as callers choose the names of images. */
const DEFAULT_MAXIMUM_KEYS = 1_000;
/**
 * At most four ratios come from one step, so this takes eight steps. Estimates
 * are off in one direction for a whole step: the ratios of a few steps would
 * carry their errors over to others.
 */
const MINIMUM_RATIOS = 32;

/** The latest ratios of actual durations to estimates, by a key. */
export class RatioTable {
  /** The key that was recorded least recently comes first. */
  private readonly windows = new Map<string, QuantileWindow>();

  constructor(private readonly maximumKeys = DEFAULT_MAXIMUM_KEYS) {}

  get size(): number {
    return this.windows.size;
  }

  record(key: string, ratio: number): void {
    const window = this.windows.get(key) ?? new QuantileWindow();
    this.windows.delete(key);
    this.windows.set(key, window);
    window.add(ratio);
    if (this.windows.size <= this.maximumKeys) return;
    const [oldest] = this.windows.keys();
    this.windows.delete(oldest);
  }

  /** Undefined if too few ratios are known. */
  find(key: string): QuantileWindow | undefined {
    const window = this.windows.get(key);
    return window && window.size >= MINIMUM_RATIOS ? window : undefined;
  }
}

import {QuantileTracker} from '../retries/quantile_tracker.js';

/** Weight of the newest holding time in the smoothed one. */
const SMOOTHING = 0.005;
/** The plain mean is used until this many requests have ended. */
const WARM_UP_REQUESTS = 1 / SMOOTHING;
/** Quantile of holding times that a queued request must have time for. */
const LONG_QUANTILE = 0.95;
/** A stall shows when half of the requests are this many times too old. */
const STALL_FACTOR = 4;

/**
 * Estimates how long a request holds a slot. Long-running requests count before
 * they end, so that a stalled executor is treated as a slow one.
 */
export class HoldingTime {
  private smoothedMillis = 0;
  private endedRequests = 0;
  private readonly longTimes = new QuantileTracker(LONG_QUANTILE);
  private latestTime = 0;

  /** Records the current time; an earlier one than recorded is ignored. */
  observe(now: number): void {
    this.latestTime = Math.max(this.latestTime, now);
  }

  ended(heldMillis: number): void {
    this.endedRequests++;
    this.longTimes.add(heldMillis);
    const weight =
      this.endedRequests < WARM_UP_REQUESTS
        ? 1 / this.endedRequests
        : SMOOTHING;
    this.smoothedMillis += weight * (heldMillis - this.smoothedMillis);
  }

  /** Returns the 95th percentile of the holding time; 0 if unknown. */
  longMillis(): number {
    return this.longTimes.value() ?? 0;
  }

  /**
   * Returns the expected holding time; 0 if unknown. The argument is the time
   * by which half of the running requests had started. It is undefined if too
   * few run, because a single long-running request doesn't show a stall.
   */
  expectedMillis(halfStartedBy: number | undefined): number {
    if (halfStartedBy === undefined) return this.smoothedMillis;
    const ageMillis = this.latestTime - halfStartedBy;
    return Math.max(this.smoothedMillis, ageMillis / STALL_FACTOR);
  }
}

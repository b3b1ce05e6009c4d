import {QuantileTracker} from '../retries/quantile_tracker.js';

/** Weight of the newest holding time in the smoothed one. */
const SMOOTHING = 0.005;
/** The first requests count by their plain mean until this many were seen. */
const WARM_UP_REQUESTS = 1 / SMOOTHING;
/** Long holding times, for which a queued request must still have time. */
const LONG_QUANTILE = 0.95;
/** Half of the requests this many times older than usual show a stall. */
const STALL_FACTOR = 4;

/**
 * How long a request holds a slot. Requests that run on and on count before
 * they end, so that a stalled executor shows as a slow one.
 */
export class HoldingTime {
  private smoothedMillis = 0;
  private endedRequests = 0;
  private readonly longTimes = new QuantileTracker(LONG_QUANTILE);
  private latestTime = 0;

  /** Takes note of the time; it never goes back. */
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

  /** A time that few requests exceed; 0: unknown. */
  longMillis(): number {
    return this.longTimes.value() ?? 0;
  }

  /**
   * Expected holding time; 0: unknown. Half of the running requests, if any,
   * began by the time given. One request that runs on says nothing.
   */
  expectedMillis(halfStartedBy: number | undefined): number {
    if (halfStartedBy === undefined) return this.smoothedMillis;
    const ageMillis = this.latestTime - halfStartedBy;
    return Math.max(this.smoothedMillis, ageMillis / STALL_FACTOR);
  }
}

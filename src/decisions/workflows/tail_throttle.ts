/**
 * Load pattern: best-effort tasks raise the tail latency of a latency-critical
 * task on the same worker, by amounts that differ by image and change within
 * seconds. A tail over its target for some seconds does harm; too much
 * throttling delays the best-effort work.
 */

/** Tail ratio from which best-effort tasks are slowed. */
const HIGH_RATIO = 0.85;
/** Tail ratio up to which best-effort tasks may run faster. */
const LOW_RATIO = 0.6;
/** Factor of each decrease, applied once a measurement of half a second. */
const DECREASE_FACTOR = 0.5;
const INCREASE_PERCENT = 20;
/** A best-effort task below this is paused. */
const MINIMUM_PERCENT = 10;
/** Consecutive low measurements required before the next increase. */
const LOW_MEASUREMENTS = 2;
const FULL_PERCENT = 100;

/** The tail latency of a latency-critical run, as measured by its worker. */
export interface MeasuredTail {
  readonly tailMillis: number;
  readonly targetMillis: number;
}

/** Decides the pace of the best-effort tasks of one worker. */
export class TailThrottle {
  private percent = FULL_PERCENT;
  private lowMeasurements = 0;

  /** Returns the new pace for a measurement of all latency-critical runs. */
  decide(tails: readonly MeasuredTail[]): number {
    const worst = Math.max(
      0,
      ...tails.map(({tailMillis, targetMillis}) => tailMillis / targetMillis),
    );
    if (worst >= HIGH_RATIO) this.decrease(worst);
    else if (worst <= LOW_RATIO) this.increase();
    else this.lowMeasurements = 0;
    return this.percent;
  }

  private decrease(worst: number): void {
    this.lowMeasurements = 0;
    if (worst < 1) {
      this.percent = Math.max(MINIMUM_PERCENT, this.percent * DECREASE_FACTOR);
      return;
    }
    const reduced = this.percent * DECREASE_FACTOR;
    this.percent = reduced < MINIMUM_PERCENT ? 0 : reduced;
  }

  private increase(): void {
    if (++this.lowMeasurements < LOW_MEASUREMENTS) return;
    this.percent = Math.min(FULL_PERCENT, this.percent + INCREASE_PERCENT);
  }
}

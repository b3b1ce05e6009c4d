const LEAST_BUDGET = 0.02;
const LARGEST_BUDGET = 2;
const FIRST_BUDGET = 0.3;

/** How far the right budget may move between two measurements, squared. */
const DRIFT_VARIANCE = 0.002;

/** Bounds of the part of a difference that one measurement makes up for. */
const LEAST_GAIN = 0.02;
const LARGEST_GAIN = 0.1;

/** The least part while the tail is far above its target. */
const URGENT_GAIN = 0.2;
const URGENT_FACTOR = 2;

/**
 * Variance of the logarithm of a 99th percentile, for one answer and a variance
 * of 1 of the logarithms of lognormal times.
 */
const TAIL_VARIANCE = 14;

/** The largest difference, as a logarithm, that one measurement counts for. */
const LARGEST_DIFFERENCE = 1;

/** Part of the target that the budget aims at. */
const AIM_PART = 0.95;

/** How far the budget may be above what the tasks cause. */
const HEADROOM = 0.3;

export interface TailMeasurement {
  /** 0 while unknown. */
  readonly tailMillis: number;
  /** Answers that it was taken from, and the variance of their logarithms. */
  readonly answers: number;
  readonly varianceOfLog: number;
  /** 0 is none. */
  readonly targetMillis: number;
  /** What the tasks are taken to add to the logarithm of service times. */
  readonly slowdown: number;
}

/**
 * How much the neighbours of a service may add to the logarithm of its service
 * times. It follows the difference between the measured tail and the target in
 * small parts, since the tail of a short time is a rough measurement.
 */
export class SlowdownBudget {
  private current = FIRST_BUDGET;

  get slowdown(): number {
    return this.current;
  }

  update(measurement: TailMeasurement): void {
    const {tailMillis, targetMillis, slowdown} = measurement;
    if (targetMillis <= 0) {
      this.current = LARGEST_BUDGET;
      return;
    }
    if (tailMillis <= 0) return;
    const difference = Math.log((AIM_PART * targetMillis) / tailMillis);
    const limited = clamp(difference, -LARGEST_DIFFERENCE, LARGEST_DIFFERENCE);
    const gain = gainFrom(measurement);
    const limit = Math.max(FIRST_BUDGET, slowdown + HEADROOM);
    const wanted = Math.min(this.current + gain * limited, limit);
    this.current = clamp(wanted, LEAST_BUDGET, LARGEST_BUDGET);
  }
}

/** Rough measurements move the budget less. */
function gainFrom(measurement: TailMeasurement): number {
  const {answers, tailMillis, targetMillis, varianceOfLog} = measurement;
  const noise = (TAIL_VARIANCE * varianceOfLog) / Math.max(1, answers);
  const gain = DRIFT_VARIANCE / (DRIFT_VARIANCE + noise);
  const isUrgent = tailMillis > URGENT_FACTOR * targetMillis;
  const least = isUrgent ? URGENT_GAIN : LEAST_GAIN;
  return clamp(gain, least, LARGEST_GAIN);
}

function clamp(value: number, least: number, largest: number): number {
  return Math.min(largest, Math.max(least, value));
}

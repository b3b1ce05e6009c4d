const MINIMUM_BUDGET = 0.02;
const MAXIMUM_BUDGET = 2;
const INITIAL_BUDGET = 0.3;

/** Variance of the drift of the ideal budget between two measurements. */
const DRIFT_VARIANCE = 0.002;

/** Bounds of the share of a difference that one measurement corrects. */
const MINIMUM_GAIN = 0.02;
const MAXIMUM_GAIN = 0.1;

/** Minimum gain while the tail latency is far above its target. */
const URGENT_GAIN = 0.2;
const URGENT_FACTOR = 2;

/**
 * Variance of the logarithm of a measured 99th percentile, for one response and
 * lognormal times whose logarithms have a variance of 1.
 */
const TAIL_VARIANCE = 14;

/** Limit of the log difference that one measurement contributes. */
const MAXIMUM_DIFFERENCE = 1;

/** Share of the latency target that the budget aims at. */
const AIMED_TARGET_SHARE = 0.95;

/** Maximum excess of the budget over the slowdown that the tasks cause. */
const HEADROOM = 0.3;

export interface TailMeasurement {
  /** 0 while unknown. */
  readonly tailMillis: number;
  /** Number of responses measured, and the variance of their logarithms. */
  readonly answers: number;
  readonly varianceOfLog: number;
  /** 0 if there is no target. */
  readonly targetMillis: number;
  /** Estimated increase of log service time by the tasks. */
  readonly slowdown: number;
}

/**
 * Limit on the increase of a service's log service time by tasks on its VM.
 * Corrects the difference between measured tail latency and target in small
 * steps, because a tail latency measured over a short time is imprecise.
 */
export class SlowdownBudget {
  private current = INITIAL_BUDGET;

  get slowdown(): number {
    return this.current;
  }

  update(measurement: TailMeasurement): void {
    const {tailMillis, targetMillis, slowdown} = measurement;
    if (targetMillis <= 0) {
      this.current = MAXIMUM_BUDGET;
      return;
    }
    if (tailMillis <= 0) return;
    const difference = Math.log(
      (AIMED_TARGET_SHARE * targetMillis) / tailMillis,
    );
    const limited = clamp(difference, -MAXIMUM_DIFFERENCE, MAXIMUM_DIFFERENCE);
    const gain = gainFrom(measurement);
    const limit = Math.max(INITIAL_BUDGET, slowdown + HEADROOM);
    const wanted = Math.min(this.current + gain * limited, limit);
    this.current = clamp(wanted, MINIMUM_BUDGET, MAXIMUM_BUDGET);
  }
}

/** Returns the gain, which is smaller for imprecise measurements. */
function gainFrom(measurement: TailMeasurement): number {
  const {answers, tailMillis, targetMillis, varianceOfLog} = measurement;
  const noise = (TAIL_VARIANCE * varianceOfLog) / Math.max(1, answers);
  const gain = DRIFT_VARIANCE / (DRIFT_VARIANCE + noise);
  const isUrgent = tailMillis > URGENT_FACTOR * targetMillis;
  const minimum = isUrgent ? URGENT_GAIN : MINIMUM_GAIN;
  return clamp(gain, minimum, MAXIMUM_GAIN);
}

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(maximum, Math.max(minimum, value));
}

const LEAST_BUDGET = 0.02;
const LARGEST_BUDGET = 2;
const FIRST_BUDGET = 0.2;

/** Part of the difference to the target that one measurement makes up for. */
const GAIN = 0.04;

/** The same while the tail is far above its target. */
const URGENT_GAIN = 0.2;
const URGENT_FACTOR = 2;

/** The largest difference, as a logarithm, that one measurement counts for. */
const LARGEST_DIFFERENCE = 1;

/** How far the budget may be above what the tasks cause. */
const HEADROOM = 0.15;

export interface TailMeasurement {
  /** 0 while unknown. */
  readonly tailMillis: number;
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

  update({tailMillis, targetMillis, slowdown}: TailMeasurement): void {
    if (targetMillis <= 0) {
      this.current = LARGEST_BUDGET;
      return;
    }
    if (tailMillis <= 0) return;
    const difference = Math.log(targetMillis / tailMillis);
    const limited = clamp(difference, -LARGEST_DIFFERENCE, LARGEST_DIFFERENCE);
    const isUrgent = tailMillis > URGENT_FACTOR * targetMillis;
    const gain = isUrgent ? URGENT_GAIN : GAIN;
    const limit = Math.max(FIRST_BUDGET, slowdown + HEADROOM);
    const wanted = Math.min(this.current + gain * limited, limit);
    this.current = clamp(wanted, LEAST_BUDGET, LARGEST_BUDGET);
  }
}

function clamp(value: number, least: number, largest: number): number {
  return Math.min(largest, Math.max(least, value));
}

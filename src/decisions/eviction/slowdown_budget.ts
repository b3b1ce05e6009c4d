const LEAST_BUDGET = 0.02;
const LARGEST_BUDGET = 2;
const FIRST_BUDGET = 0.1;

/** Below this part of its target a tail leaves room for more batch work. */
const CALM_PART = 0.85;

/** By how much the budget grows at a time, in all and by part. */
const GROWTH_STEP = 0.01;
const GROWTH_SHARE = 0.1;

/** By how much the budget shrinks at a time at least. */
const SHRINK_SHARE = 0.25;

/** How far the budget may be above what the tasks cause. */
const HEADROOM = 0.1;

/** Time for a change to show in the measured tail. */
const GROWTH_PERIOD_MILLIS = 1_000;
const SHRINK_PERIOD_MILLIS = 2_000;

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
 * times. It shrinks while the tail misses its target, and grows slowly, in
 * small steps, while the tail is well below it.
 */
export class SlowdownBudget {
  private current = FIRST_BUDGET;
  private shrunkAt = -Infinity;
  private grownAt = -Infinity;
  private missedSince: number | undefined;

  get slowdown(): number {
    return this.current;
  }

  /** How long the target has been missed; 0 while it is met. */
  missedMillis(now: number): number {
    return this.missedSince === undefined ? 0 : now - this.missedSince;
  }

  update(measurement: TailMeasurement, now: number): void {
    const {tailMillis, targetMillis} = measurement;
    if (targetMillis <= 0) {
      this.current = LARGEST_BUDGET;
      this.missedSince = undefined;
      return;
    }
    if (tailMillis > targetMillis) {
      this.missedSince ??= now;
      this.shrink(measurement, now);
      return;
    }
    this.missedSince = undefined;
    if (tailMillis < CALM_PART * targetMillis) this.grow(measurement, now);
  }

  private shrink(measurement: TailMeasurement, now: number): void {
    if (now - this.shrunkAt < SHRINK_PERIOD_MILLIS) return;
    this.shrunkAt = now;
    const {tailMillis, targetMillis, slowdown} = measurement;
    const excess = Math.log(tailMillis / targetMillis);
    const used = Math.min(slowdown, this.current);
    const wanted = Math.min(used - excess, used * (1 - SHRINK_SHARE));
    this.current = Math.max(LEAST_BUDGET, wanted);
  }

  private grow({slowdown}: TailMeasurement, now: number): void {
    if (now - this.shrunkAt < SHRINK_PERIOD_MILLIS) return;
    if (now - this.grownAt < GROWTH_PERIOD_MILLIS) return;
    this.grownAt = now;
    const wanted = this.current * (1 + GROWTH_SHARE) + GROWTH_STEP;
    const limit = Math.max(FIRST_BUDGET, slowdown + HEADROOM);
    this.current = Math.min(wanted, limit, LARGEST_BUDGET);
  }
}

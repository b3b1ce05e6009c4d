/**
 * Load pattern: filling tasks beside a task that serves lengthen its tail, by
 * amounts that differ by image and change within seconds. A tail over its
 * target for some seconds does harm; throttling too much holds back the work.
 */

/** Share of its target at which a tail calls for less of what fills. */
const HIGH_SHARE = 0.85;
/** Share of its target below which what fills may work more. */
const LOW_SHARE = 0.6;
/** Factor of each step down; half within one look of half a second. */
const DECREASE = 0.5;
const INCREASE_PERCENT = 20;
/** Below this a filling task stands still. */
const LEAST_PERCENT = 10;
/** Looks in a row that have to be calm before the next step up. */
const CALM_LOOKS = 2;
const FULL_PERCENT = 100;

/** A run that serves, as the worker measured it. */
export interface ServingTail {
  readonly tailMillis: number;
  readonly targetMillis: number;
}

/** Decides the share at which the filling tasks of one worker work. */
export class TailThrottle {
  private percent = FULL_PERCENT;
  private calmLooks = 0;

  /** The percent from now on, given a new measurement of all serving runs. */
  decide(tails: readonly ServingTail[]): number {
    const worst = Math.max(
      0,
      ...tails.map(({tailMillis, targetMillis}) => tailMillis / targetMillis),
    );
    if (worst >= HIGH_SHARE) this.decrease(worst);
    else if (worst <= LOW_SHARE) this.increase();
    else this.calmLooks = 0;
    return this.percent;
  }

  private decrease(worst: number): void {
    this.calmLooks = 0;
    if (worst < 1) {
      this.percent = Math.max(LEAST_PERCENT, this.percent * DECREASE);
      return;
    }
    const less = this.percent * DECREASE;
    this.percent = less < LEAST_PERCENT ? 0 : less;
  }

  private increase(): void {
    if (++this.calmLooks < CALM_LOOKS) return;
    this.percent = Math.min(FULL_PERCENT, this.percent + INCREASE_PERCENT);
  }
}

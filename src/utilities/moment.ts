import type {Clock} from './clock.js';

/** Readings of the monotonic and the wall clock, in milliseconds. */
export interface Moment {
  readonly steady: number;
  readonly calendar: number;
}

export function momentOf(clock: Clock): Moment {
  return {steady: clock.now(), calendar: clock.wallTime()};
}

/**
 * Returns the larger of the times that both clocks have measured since the
 * readings: the monotonic clock stops while the machine is suspended, and the
 * wall clock may jump back.
 */
export function longestSince(clock: Clock, moment: Moment): number {
  const steady = clock.now() - moment.steady;
  const calendar = clock.wallTime() - moment.calendar;
  return Math.max(steady, calendar);
}

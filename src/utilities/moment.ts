import type {Clock} from './clock.js';

/** A reading of both clocks, in milliseconds. */
export interface Moment {
  readonly steady: number;
  readonly calendar: number;
}

export function momentOf(clock: Clock): Moment {
  return {steady: clock.now(), calendar: clock.wallTime()};
}

/**
 * The longest time that may have passed since the moment: the steady clock
 * stands still while a machine is suspended, and the calendar may jump back.
 */
export function longestSince(clock: Clock, moment: Moment): number {
  const steady = clock.now() - moment.steady;
  const calendar = clock.wallTime() - moment.calendar;
  return Math.max(steady, calendar);
}

import type {Clock} from './clock.js';

/** Readings of the monotonic and the wall clock, in milliseconds. */
export interface ClockReadings {
  readonly monotonicMillis: number;
  readonly wallMillis: number;
}

export function readClocks(clock: Clock): ClockReadings {
  return {monotonicMillis: clock.now(), wallMillis: clock.wallTime()};
}

/**
 * Returns the larger of the times that both clocks have measured since the
 * readings: the monotonic clock stops while the machine is suspended, and the
 * wall clock may jump back.
 */
export function maximumElapsedMillis(
  clock: Clock,
  moment: ClockReadings,
): number {
  const steady = clock.now() - moment.monotonicMillis;
  const calendar = clock.wallTime() - moment.wallMillis;
  return Math.max(steady, calendar);
}

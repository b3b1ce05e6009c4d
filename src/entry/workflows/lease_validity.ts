import type {Clock} from '../../utilities/clock.js';

/** For clocks that differ in speed, and for the time to act on a look. */
const MARGIN_MILLIS = 300;

/**
 * Tells how long a lease holds for sure. It is counted on the steady clock and
 * on the calendar, since the first stands still while a machine is suspended.
 */
export class LeaseValidity {
  private steadyFrom = -Infinity;
  private calendarFrom = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly ttlMillis: number,
  ) {}

  /** The lease was renewed by a call that was sent at this moment. */
  noteRenewal(sent: LeaseMoment): void {
    this.steadyFrom = Math.max(this.steadyFrom, sent.steady);
    this.calendarFrom = sent.calendar;
  }

  moment(): LeaseMoment {
    return {steady: this.clock.now(), calendar: this.clock.wallTime()};
  }

  get isValid(): boolean {
    const steady = this.clock.now() - this.steadyFrom;
    const calendar = this.clock.wallTime() - this.calendarFrom;
    return Math.max(steady, calendar) < this.ttlMillis - MARGIN_MILLIS;
  }
}

/** A reading of both clocks, in milliseconds. */
export interface LeaseMoment {
  readonly steady: number;
  readonly calendar: number;
}

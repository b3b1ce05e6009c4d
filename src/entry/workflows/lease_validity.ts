import type {Clock} from '../../utilities/clock.js';
import {longestSince} from '../../utilities/moment.js';
import type {Moment} from '../../utilities/moment.js';

/** For clocks that differ in speed, and for the time to act on a look. */
const MARGIN_MILLIS = 300;

/** Tells how long a lease holds for sure. */
export class LeaseValidity {
  private renewedAt: Moment = {steady: -Infinity, calendar: -Infinity};

  constructor(
    private readonly clock: Clock,
    private readonly ttlMillis: number,
  ) {}

  /** The lease was renewed by a call that was sent at this moment. */
  noteRenewal(sent: Moment): void {
    const steady = Math.max(this.renewedAt.steady, sent.steady);
    this.renewedAt = {steady, calendar: sent.calendar};
  }

  get isValid(): boolean {
    const age = longestSince(this.clock, this.renewedAt);
    return age < this.ttlMillis - MARGIN_MILLIS;
  }
}

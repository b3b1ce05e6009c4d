import type {Clock} from '../../utilities/clock.js';
import {longestSince} from '../../utilities/moment.js';
import type {Moment} from '../../utilities/moment.js';

/** Allows for clock drift and for the time between a check and its use. */
const SAFETY_MARGIN_MILLIS = 300;

/** Tells whether a lease is guaranteed to be valid. */
export class LeaseValidity {
  private renewedAt: Moment = {steady: -Infinity, calendar: -Infinity};

  constructor(
    private readonly clock: Clock,
    private readonly ttlMillis: number,
  ) {}

  /** Records that a call sent at this moment renewed the lease. */
  recordRenewal(sent: Moment): void {
    const steady = Math.max(this.renewedAt.steady, sent.steady);
    this.renewedAt = {steady, calendar: sent.calendar};
  }

  get isValid(): boolean {
    const age = longestSince(this.clock, this.renewedAt);
    return age < this.ttlMillis - SAFETY_MARGIN_MILLIS;
  }
}

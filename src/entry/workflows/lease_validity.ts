import type {Clock} from '../../utilities/clock.js';
import {maximumElapsedMillis} from '../../utilities/clock_readings.js';
import type {ClockReadings} from '../../utilities/clock_readings.js';

/** Allows for clock drift and for the time between a check and its use. */
const SAFETY_MARGIN_MILLIS = 300;

/** Tells whether a lease is guaranteed to be valid. */
export class LeaseValidity {
  private renewedAt: ClockReadings = {
    monotonicMillis: -Infinity,
    wallMillis: -Infinity,
  };

  constructor(
    private readonly clock: Clock,
    private readonly ttlMillis: number,
  ) {}

  /** Records that a call sent at this moment renewed the lease. */
  recordRenewal(sent: ClockReadings): void {
    const steady = Math.max(
      this.renewedAt.monotonicMillis,
      sent.monotonicMillis,
    );
    this.renewedAt = {monotonicMillis: steady, wallMillis: sent.wallMillis};
  }

  get isValid(): boolean {
    const age = maximumElapsedMillis(this.clock, this.renewedAt);
    return age < this.ttlMillis - SAFETY_MARGIN_MILLIS;
  }
}

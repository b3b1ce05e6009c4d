import {longestLeaseLife} from '../../decisions/workflows/lease_life.js';
import type {Clock} from '../../utilities/clock.js';

/** A start needs at least this much of the lease to be worth sending. */
const LEAST_LEASE_MILLIS = 300;

/** A reading of the worker's clock, and when the agent sent and got it. */
interface ClockReading {
  readonly workerClock: number;
  readonly receivedAt: number;
}

/**
 * The lease of one incarnation of a worker, in the worker's own clock. An end
 * is computed from readings so that it can only be too early, also if this
 * process stood still in between.
 */
export class WorkerLease {
  private reading: ClockReading | undefined;
  private grantedEnd = -Infinity;
  private sentEnd = -Infinity;

  constructor(private readonly clock: Clock) {}

  noteReading(workerClock: number): void {
    this.reading = {workerClock, receivedAt: this.clock.now()};
  }

  /** A time on the worker's clock that is not after the present one. */
  get workerNow(): number | undefined {
    const {reading} = this;
    if (!reading) return undefined;
    return reading.workerClock + this.clock.now() - reading.receivedAt;
  }

  /** The owner lets runs go on until this time on the worker's clock. */
  grant(end: number): void {
    this.grantedEnd = Math.max(this.grantedEnd, end);
  }

  /** The end to tell the worker; undefined if there is no lease to speak of. */
  get end(): number | undefined {
    const {workerNow} = this;
    if (workerNow === undefined) return undefined;
    if (this.grantedEnd < workerNow + LEAST_LEASE_MILLIS) return undefined;
    return this.grantedEnd;
  }

  /** The end was sent; whether it arrived is not known. */
  noteSent(end: number): void {
    this.sentEnd = Math.max(this.sentEnd, end);
  }

  /** Whether the worker's lease has ended for sure. */
  isLapsed(longestLeaseMillis: number, startedAt: number): boolean {
    const now = this.clock.now();
    const {reading} = this;
    // An agent before this one may have prolonged it just before the start.
    if (now < startedAt + longestLeaseLife(longestLeaseMillis)) return false;
    if (!reading || this.sentEnd === -Infinity) return true;
    const left = Math.max(0, this.sentEnd - reading.workerClock);
    return now > reading.receivedAt + longestLeaseLife(left);
  }
}

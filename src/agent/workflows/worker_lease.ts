import {guaranteedExpiryMillis} from '../../decisions/workflows/lease_duration.js';
import type {Clock} from '../../utilities/clock.js';

/** With less of the lease left, a start is not worth sending. */
const MINIMUM_LEASE_MILLIS = 300;

/** A reading of the worker's clock, and when the agent received it. */
interface ClockReading {
  readonly workerClock: number;
  readonly receivedAt: number;
}

/**
 * The lease of one incarnation of a worker, in the worker's own clock. Ends are
 * computed from clock readings so that any error makes them too early, even if
 * this process was paused in between.
 */
export class WorkerLease {
  private reading: ClockReading | undefined;
  private grantedEnd = -Infinity;
  private sentEnd = -Infinity;

  constructor(private readonly clock: Clock) {}

  recordClockReading(workerClock: number): void {
    this.reading = {workerClock, receivedAt: this.clock.now()};
  }

  /** A lower bound on the current time of the worker's clock. */
  get workerNow(): number | undefined {
    const {reading} = this;
    if (!reading) return undefined;
    return reading.workerClock + this.clock.now() - reading.receivedAt;
  }

  /** Extends the lease granted by the owner, on the worker's clock. */
  grant(end: number): void {
    this.grantedEnd = Math.max(this.grantedEnd, end);
  }

  /** The lease end to send to the worker, or undefined if too little is left. */
  get end(): number | undefined {
    const {workerNow} = this;
    if (workerNow === undefined) return undefined;
    if (this.grantedEnd < workerNow + MINIMUM_LEASE_MILLIS) return undefined;
    return this.grantedEnd;
  }

  /** Records a lease end that was sent and may or may not have arrived. */
  recordSentEnd(end: number): void {
    this.sentEnd = Math.max(this.sentEnd, end);
  }

  /** True if the worker's lease is guaranteed to have expired. */
  isExpired(longestLeaseMillis: number, exclusiveSince: number): boolean {
    const now = this.clock.now();
    const {reading} = this;
    // Somebody else may have extended the lease until then.
    if (now < exclusiveSince + guaranteedExpiryMillis(longestLeaseMillis))
      return false;
    if (!reading || this.sentEnd === -Infinity) return true;
    const left = Math.max(0, this.sentEnd - reading.workerClock);
    return now > reading.receivedAt + guaranteedExpiryMillis(left);
  }
}

/** Share of the longest lease that workers allow; leaves a margin for drift. */
const MAXIMUM_LEASE_SHARE = 0.95;
/** Maximum factor by which the clock of a worker may be slow. */
const CLOCK_DRIFT = 1.02;
/** Time to end the runs under the lease, and for the calls that report it. */
const EXPIRY_MARGIN_MILLIS = 300;

/** Returns how long runs continue without a message from the owner. */
export function runLeaseMillis(maximumLeaseMillis: number): number {
  return Math.floor(maximumLeaseMillis * MAXIMUM_LEASE_SHARE);
}

/**
 * Returns the time after which a lease that a worker measures by its own clock
 * is guaranteed to have expired, and all runs under it to have ended.
 */
export function guaranteedExpiryMillis(leaseMillis: number): number {
  return leaseMillis * CLOCK_DRIFT + EXPIRY_MARGIN_MILLIS;
}

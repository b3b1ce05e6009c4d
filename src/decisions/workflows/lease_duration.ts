/** Maximum factor by which the clock of a worker may be slow. */
const CLOCK_DRIFT = 1.02;
/** Time to end the runs under the lease, and for the calls that report it. */
const EXPIRY_MARGIN_MILLIS = 300;

/**
 * Returns the time after which a lease that a worker measures by its own clock
 * is guaranteed to have expired, and all runs under it to have ended.
 */
export function guaranteedExpiryMillis(leaseMillis: number): number {
  return leaseMillis * CLOCK_DRIFT + EXPIRY_MARGIN_MILLIS;
}

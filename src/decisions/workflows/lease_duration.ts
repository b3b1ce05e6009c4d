/** Share of the longest lease that workers allow; leaves a margin for drift. */
const MAXIMUM_LEASE_SHARE = 0.95;
/**
 * A worker without a response for this long gets no lease: its agent extends none
 * and the owner grants none, so that the agent may be lost before it can say so.
 */
export const MAXIMUM_SILENCE_MILLIS = 1_500;
/** Maximum factor by which the clock of a worker may be slow. */
const CLOCK_DRIFT = 1.02;
/** Time to end the runs under the lease, and for the calls that report it. */
const EXPIRY_MARGIN_MILLIS = 300;

/**
 * A long-running task whose worker is lost while agent and owner restart runs
 * again elsewhere within this time after the restarts.
 */
const MAXIMUM_ABSENCE_MILLIS = 10_000;
/** For processes to load, and for the commit and the start of the new run. */
const RESTART_MILLIS = 1_500;

/**
 * Returns how long runs continue without a message from the owner. Work that is
 * cut off for less goes on; lost work waits for as long, since nobody knows
 * whether it goes on.
 */
export function runLeaseMillis(maximumLeaseMillis: number): number {
  const longest =
    (MAXIMUM_ABSENCE_MILLIS - RESTART_MILLIS - EXPIRY_MARGIN_MILLIS) /
    CLOCK_DRIFT;
  return Math.floor(
    Math.min(maximumLeaseMillis * MAXIMUM_LEASE_SHARE, longest),
  );
}

/**
 * Returns the time after which a lease that a worker measures by its own clock
 * is guaranteed to have expired, and all runs under it to have ended.
 */
export function guaranteedExpiryMillis(leaseMillis: number): number {
  return leaseMillis * CLOCK_DRIFT + EXPIRY_MARGIN_MILLIS;
}

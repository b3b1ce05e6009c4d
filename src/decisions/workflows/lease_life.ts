/** Workers' clocks may be this much slow. */
const CLOCK_DRIFT = 1.02;
/** For the end of what runs, and for the calls that tell of it. */
const LAPSE_MARGIN_MILLIS = 300;

/**
 * The time after which a lease has ended for sure that a worker counts by its
 * own clock, and all that ran under it.
 */
export function longestLeaseLife(leaseMillis: number): number {
  return leaseMillis * CLOCK_DRIFT + LAPSE_MARGIN_MILLIS;
}

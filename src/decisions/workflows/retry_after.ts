/** The time is returned in whole seconds. */
const MINIMUM_SECONDS = 1;
/** Longer delays gain nothing, since few outages of the store last longer. */
const MAXIMUM_SECONDS = 4;
const MILLIS_PER_SECOND = 1_000;

/**
 * Returns the time after which a caller retries a request that failed because
 * the store is unavailable.
 *
 * Load pattern: the store is unavailable for some seconds, and callers give up
 * after a few request attempts. An outage is likely to last as long again as it
 * has lasted, so later callers get longer delays, and have attempts left when
 * the store is available again.
 */
export function retryAfterSeconds(outageMillis: number): number {
  const seconds = Math.ceil(outageMillis / MILLIS_PER_SECOND);
  return Math.min(MAXIMUM_SECONDS, Math.max(MINIMUM_SECONDS, seconds));
}

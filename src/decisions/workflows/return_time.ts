/** Answers are given in whole seconds. */
const LEAST_SECONDS = 1;
/** Beyond it a caller had better find out by itself: few outages last longer. */
const MOST_SECONDS = 4;
const MILLIS_PER_SECOND = 1_000;

/**
 * When a caller is to come back that could not be served for want of the store.
 *
 * Load pattern: the store is away for some seconds, and callers give up after a
 * few tries. What has lasted for a while will likely last as long again, so
 * callers who come later are sent away for longer, and have tries left when the
 * store is back.
 */
export function returnAfterSeconds(awayMillis: number): number {
  const seconds = Math.ceil(awayMillis / MILLIS_PER_SECOND);
  return Math.min(MOST_SECONDS, Math.max(LEAST_SECONDS, seconds));
}

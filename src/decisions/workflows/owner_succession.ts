/**
 * Chooses the entry that owns the pool.
 *
 * Load pattern: the owner receives the reports of all agents and writes all
 * commits, several megabits a second at hundreds of workers, and most entries
 * are low-bandwidth. If the first to claim owned the pool, this traffic could
 * delay the renewal of its own lease until the lease expires.
 */

/** An entry, as registered by itself. */
export interface OwnerCandidate {
  readonly processName: string;
  /** Share of an owner's load that the machine can carry, from 0 to 1. */
  readonly capacity: number;
  /** Increases with each start of any entry. */
  readonly startedAtRevision: number;
}

/** Machines with this share of the highest capacity count as equally good. */
const EQUAL_CAPACITY_SHARE = 0.8;
/**
 * Head start of each candidate over the next: a few response times of the
 * store, in which the others see the claim.
 */
const HEAD_START_MILLIS = 40;
/** Bounds the delay if many of the candidates have ended. */
const MAXIMUM_DELAY_MILLIS = 800;

/**
 * Returns how long an entry waits before it claims a free pool, so that better
 * candidates claim it first: high-capacity machines, and among equals those
 * that started last, since a rolling restart has already passed them.
 */
export function claimDelayMillis(
  processName: string,
  candidates: readonly OwnerCandidate[],
): number {
  const own = candidates.find(each => each.processName === processName);
  if (!own) return MAXIMUM_DELAY_MILLIS;
  const isAhead = (other: OwnerCandidate): boolean => {
    const isOtherStrong = isStrong(other, candidates);
    if (isOtherStrong !== isStrong(own, candidates)) return isOtherStrong;
    return other.startedAtRevision > own.startedAtRevision;
  };
  const ahead = candidates.filter(isAhead).length;
  return Math.min(ahead * HEAD_START_MILLIS, MAXIMUM_DELAY_MILLIS);
}

/** Returns the candidates better than the present owner, the best first. */
export function betterOwners(
  processName: string,
  candidates: readonly OwnerCandidate[],
): OwnerCandidate[] {
  const own = candidates.find(each => each.processName === processName);
  if (!own || isStrong(own, candidates)) return [];
  return candidates
    .filter(each => isStrong(each, candidates))
    .sort((left, right) => right.startedAtRevision - left.startedAtRevision);
}

function isStrong(
  {capacity}: OwnerCandidate,
  candidates: readonly OwnerCandidate[],
): boolean {
  const best = Math.max(...candidates.map(each => each.capacity));
  return capacity >= EQUAL_CAPACITY_SHARE * best;
}

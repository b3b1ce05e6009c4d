import {addResources, fitsInto} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';

/** A running task that may be evicted to free capacity. */
export interface DisplacementCandidate {
  readonly key: string;
  readonly size: Resources;
  /** Run time that has to be repeated, or is spent on resuming. */
  readonly lostMillis: number;
}

/**
 * Returns the candidates to evict so that the size fits, losing little work:
 * picks the cheapest first, then drops those that are not needed. Empty if
 * evicting all of them doesn't free enough capacity.
 */
export function chooseDisplaced(
  size: Resources,
  free: Resources,
  candidates: readonly DisplacementCandidate[],
): DisplacementCandidate[] {
  const cheapestFirst = [...candidates].sort(
    (left, right) => costOf(left) - costOf(right),
  );
  const chosen: DisplacementCandidate[] = [];
  let freed = free;
  for (const candidate of cheapestFirst) {
    if (fitsInto(size, freed)) break;
    chosen.push(candidate);
    freed = addResources(freed, candidate.size);
  }
  if (!fitsInto(size, freed)) return [];
  return withoutSuperfluous(size, free, chosen);
}

/** Returns the processor time lost by evicting the candidate. */
function costOf(candidate: DisplacementCandidate): number {
  return candidate.lostMillis * candidate.size.milliprocessors;
}

function withoutSuperfluous(
  size: Resources,
  free: Resources,
  chosen: readonly DisplacementCandidate[],
): DisplacementCandidate[] {
  let needed = [...chosen];
  for (const candidate of [...chosen].reverse()) {
    const others = needed.filter(other => other !== candidate);
    let freed = free;
    for (const other of others) freed = addResources(freed, other.size);
    if (fitsInto(size, freed)) needed = others;
  }
  return needed;
}

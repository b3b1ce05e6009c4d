import {addResources, fitsInto} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';

/** A running task that may be evicted to make room. */
export interface DisplacementCandidate {
  readonly key: string;
  readonly size: Resources;
  /** Run time that would have to be repeated or is spent on resuming. */
  readonly lostMillis: number;
}

/**
 * The candidates to evict so that the size fits, with the least work lost:
 * cheapest first, then without those that turned out not to be needed. Empty
 * when even all of them don't make enough room.
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

/** Processor time lost. */
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

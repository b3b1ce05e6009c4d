import type {PlacedRun} from './workflow.js';
import type {WorkerView} from './worker_view.js';

/** Estimates of durations are off by nearly as much as they say. */
const ESTIMATE_MARGIN = 2;
const ALL_PERCENT = 100;

/**
 * The runs to move away from a worker that is about to leave.
 *
 * Load pattern: workers are drained and taken away while the rest of the pool
 * has room. What lasts would be away until its worker was surely gone, and what
 * keeps checkpoints loses nothing by moving; all else may as well try to end.
 */
export function findRunsToMove(
  view: WorkerView,
  hasPlaceElsewhere: (placed: PlacedRun) => boolean,
): PlacedRun[] {
  if (!view.traits.draining) return [];
  const found: PlacedRun[] = [];
  for (const [name, placed] of view.placed) {
    const {reference, placement} = placed;
    const {lasting, checkpoints, gang, estimateMillis} = reference.step;
    if (placement.stopping || gang || (!lasting && !checkpoints)) continue;
    const percent = view.running.get(name)?.percent ?? 0;
    const left = estimateMillis * (1 - percent / ALL_PERCENT);
    const endsInTime = left * ESTIMATE_MARGIN < view.traits.remainingMillis;
    if (!lasting && endsInTime) continue;
    if (hasPlaceElsewhere(placed)) found.push(placed);
  }
  return found;
}

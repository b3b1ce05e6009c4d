import type {Placement} from './task_state.js';
import type {PlacedRun} from './workflow.js';
import type {WorkerView} from './worker_view.js';

/** Estimates of durations are wrong by nearly 100%. */
const ESTIMATE_MARGIN = 2;
const FULL_PERCENT = 100;

/**
 * Returns the runs to move away from a worker that is being drained.
 *
 * Load pattern: workers are drained and removed while the rest of the pool has
 * free capacity. A long-running task would be down until its worker is
 * guaranteed to have ended, and a task with checkpoints loses nothing by
 * moving; all others stay, as they may still finish. So does a run of a task
 * that has another run elsewhere.
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
    if (reference.task.placements.some(isOtherRun(placement))) continue;
    const percent = view.running.get(name)?.percent ?? 0;
    const left = estimateMillis * (1 - percent / FULL_PERCENT);
    const endsInTime = left * ESTIMATE_MARGIN < view.traits.remainingMillis;
    if (!lasting && endsInTime) continue;
    if (hasPlaceElsewhere(placed)) found.push(placed);
  }
  return found;
}

/** Returns a test for runs that go on beside the one of the placement. */
function isOtherRun(placement: Placement): (other: Placement) => boolean {
  return other => other !== placement && !other.stopping;
}

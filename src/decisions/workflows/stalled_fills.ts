import type {PlacedRun} from './workflow.js';
import type {WorkerView} from './worker_view.js';

/** Below this a filling run hardly goes on. */
const STALLED_PERCENT = 25;
/** How long a run may stand still where it is. */
const LONGEST_STALL_MILLIS = 2_000;

/**
 * Finds filling runs to move.
 *
 * Load pattern: a run is slowed for the sake of a serving task whose load stays
 * high for seconds, while another worker has tails to spare. What keeps
 * checkpoints loses nothing by moving.
 */
export class StalledFills {
  private readonly since = new Map<string, number>();

  /** The runs on the worker that have stood still for too long. */
  find(view: WorkerView, now: number): PlacedRun[] {
    const stalled: PlacedRun[] = [];
    for (const [name, percent] of view.paces) {
      const placed = view.placed.get(name);
      if (!placed) {
        view.paces.delete(name);
        this.since.delete(name);
        continue;
      }
      if (percent > STALLED_PERCENT) {
        this.since.delete(name);
        continue;
      }
      const since = this.since.get(name) ?? now;
      this.since.set(name, since);
      if (now - since < LONGEST_STALL_MILLIS) continue;
      if (placed.reference.step.checkpoints) stalled.push(placed);
    }
    return stalled;
  }
}

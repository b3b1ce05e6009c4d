import type {TaskReference} from '../workflow.js';
import type {Placement} from '../task_state.js';

/** Several rounds of placement take place in this time. */
const MAXIMUM_WAIT_MILLIS = 400;

/**
 * Runs that were found to be slow before they have lasted long. Each gets a copy
 * if there is room for one within a few rounds of placement.
 *
 * Load pattern: while the pool is full there is no room for copies, and a slow
 * run would keep its worker for several times as long as a new run needs.
 */
export class SlowRuns {
  private readonly foundAt = new WeakMap<Placement, number>();

  has(placement: Placement): boolean {
    return this.foundAt.has(placement);
  }

  /**
   * Called whenever a run is found to be slow. False if it has no copy and won't
   * get one, so that it is to be stopped.
   */
  record({task}: TaskReference, placement: Placement, now: number): boolean {
    const foundAt = this.foundAt.get(placement) ?? now;
    this.foundAt.set(placement, foundAt);
    const hasCopy = task.placements.length > 1;
    return hasCopy || now - foundAt < MAXIMUM_WAIT_MILLIS;
  }
}

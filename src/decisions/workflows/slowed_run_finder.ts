import type {PlacedRun} from './workflow.js';
import type {WorkerView} from './worker_view.js';

/** Up to this pace a best-effort run makes hardly any progress. */
const STALLED_PERCENT = 25;
/** Maximum time for which a run may stay stalled on its worker. */
const MAXIMUM_STALL_MILLIS = 2_000;
/** Up to this pace staying costs more than moving, which takes a second. */
const SLOW_PERCENT = 60;
/** Maximum time for which a run may stay this slow before it is moved. */
const MAXIMUM_SLOW_MILLIS = 1_000;
/** From this run number on a task is only moved if it is stalled. */
const MAXIMUM_RUNS_TO_SPEED_UP = 3;

/** A best-effort run that would progress faster on another worker. */
export interface SlowedRun {
  readonly placed: PlacedRun;
  /**
   * The run is stalled, so that any other worker is better; otherwise only a
   * worker on which it is not paced.
   */
  readonly isStalled: boolean;
}

/** The times since which a run has been at or below each pace. */
interface Slowness {
  slowSince: number;
  stalledSince: number;
}

/**
 * Finds best-effort runs to move.
 *
 * Load pattern: a run is slowed to protect a latency-critical task whose load
 * stays high for seconds, while another worker has low tail ratios. A run with
 * checkpoints loses little by moving, and a step ends with its slowest task.
 */
export class SlowedRunFinder {
  private readonly slowness = new Map<string, Slowness>();

  /** Returns the runs on the worker that have been slowed for too long. */
  find(view: WorkerView, now: number): SlowedRun[] {
    const stalled: SlowedRun[] = [];
    for (const [name, percent] of view.paces) {
      const placed = view.placed.get(name);
      if (!placed) {
        view.paces.delete(name);
        this.slowness.delete(name);
        continue;
      }
      const slowness = this.recordPace(name, percent, now);
      if (!placed.reference.step.checkpoints) continue;
      const isStalled = now - slowness.stalledSince >= MAXIMUM_STALL_MILLIS;
      const isSlow = now - slowness.slowSince >= MAXIMUM_SLOW_MILLIS;
      const mayMove = placed.reference.task.lastRun < MAXIMUM_RUNS_TO_SPEED_UP;
      if (isStalled || (isSlow && mayMove)) stalled.push({placed, isStalled});
    }
    return stalled;
  }

  private recordPace(name: string, percent: number, now: number): Slowness {
    const known = this.slowness.get(name);
    const slowness = {
      slowSince: sinceOf(percent <= SLOW_PERCENT, known?.slowSince, now),
      stalledSince: sinceOf(
        percent <= STALLED_PERCENT,
        known?.stalledSince,
        now,
      ),
    };
    this.slowness.set(name, slowness);
    return slowness;
  }
}

/**
 * Returns the time since which a condition is true; Infinity if it is false.
 */
function sinceOf(
  isTrue: boolean,
  before: number | undefined,
  now: number,
): number {
  if (!isTrue) return Infinity;
  return Math.min(before ?? Infinity, now);
}

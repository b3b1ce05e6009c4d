import {runKey} from '../../decisions/workflows/task_name.js';
import {WorkerView} from '../../decisions/workflows/worker_view.js';
import type {WorkerTraits} from '../../decisions/workflows/worker_view.js';
import {taskNameOf} from '../../decisions/workflows/workflow.js';
import type {PlacedRun} from '../../decisions/workflows/workflow.js';

/** Separates the agent and the incarnation in the key of a worker. */
const SEPARATOR = '/';

/** Returns the key of an agent's worker incarnation, as stored in records. */
export function workerKey(agent: string, incarnation: string): string {
  return agent + SEPARATOR + incarnation;
}

export function agentOf(key: string): string {
  return key.slice(0, key.indexOf(SEPARATOR));
}

/**
 * All placed runs by worker, and the workers that agents have reported. A run
 * may be placed on a worker that has not been reported yet.
 */
export class WorkerRegistry {
  private readonly views = new Map<string, WorkerView>();
  private readonly placed = new Map<string, Map<string, PlacedRun>>();
  private readonly workerOfRun = new Map<string, string>();

  get all(): WorkerView[] {
    return [...this.views.values()];
  }

  /** Keys of workers on which runs are placed. */
  get occupiedKeys(): string[] {
    return [...this.placed.keys()];
  }

  get(key: string): WorkerView | undefined {
    return this.views.get(key);
  }

  placedAt(key: string): PlacedRun[] {
    return [...(this.placed.get(key)?.values() ?? [])];
  }

  /** Creates or updates the view of a worker that an agent reports. */
  report(agent: string, traits: WorkerTraits): WorkerView {
    const key = workerKey(agent, traits.incarnation);
    const known = this.views.get(key);
    if (known) {
      known.traits = traits;
      return known;
    }
    const view = new WorkerView(key, agent, traits);
    this.views.set(key, view);
    for (const [name, run] of this.placed.get(key) ?? []) {
      view.addRun(name, run);
    }
    return view;
  }

  forget(key: string): void {
    this.views.delete(key);
  }

  addPlacement(placed: PlacedRun): void {
    const {worker, run} = placed.placement;
    const name = runKey(taskNameOf(placed.reference), run);
    const runs = this.placed.get(worker) ?? new Map<string, PlacedRun>();
    this.placed.set(worker, runs.set(name, placed));
    this.workerOfRun.set(name, worker);
    this.views.get(worker)?.addRun(name, placed);
  }

  removePlacement(name: string): void {
    const worker = this.workerOfRun.get(name);
    if (worker === undefined) return;
    this.workerOfRun.delete(name);
    this.views.get(worker)?.removeRun(name);
    const runs = this.placed.get(worker);
    runs?.delete(name);
    if (runs?.size === 0) this.placed.delete(worker);
  }
}

import type {WorkerReport, WorkerRun} from '../../backends/leased_worker.js';
import {
  NO_RESOURCES,
  addResources,
  subtractResources,
} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';
import type {Tail} from './image_interference.js';
import type {PlacedRun} from './workflow.js';

/** A run at or above this pace does not count as slowed. */
const NEARLY_FULL_PERCENT = 80;

/** Properties of a worker that placement depends on. */
export type WorkerTraits = Pick<
  WorkerReport,
  | 'incarnation'
  | 'service'
  | 'failureDomain'
  | 'rack'
  | 'labels'
  | 'room'
  | 'draining'
  | 'remainingMillis'
>;

/** A run listed by a worker on which it is not placed. */
export interface UnexpectedRun {
  readonly size: Resources;
  readonly fills: boolean;
}

/**
 * The view that the owner of a pool has of one incarnation of a worker: its
 * reports, the runs placed there, and the reported state of these runs.
 */
export class WorkerView {
  /** Time of the last report of the agent, on the clock of the owner. */
  lastMessageAt = 0;
  /** How long the worker has not responded to its agent. */
  silentMillis = 0;
  /** True if a run list of the worker was received. */
  hasRunList = false;
  readonly running = new Map<string, WorkerRun>();
  /** Paces of runs in percent, by run key; missing for full speed. */
  readonly paces = new Map<string, number>();
  readonly unexpected = new Map<string, UnexpectedRun>();
  private readonly runs = new Map<string, PlacedRun>();
  /** Of `runs`, those with a tail target. */
  private readonly latencyCriticalRuns = new Map<string, PlacedRun>();
  /** Of `runs`, those of best-effort tasks. */
  private readonly fillingRuns = new Map<string, PlacedRun>();
  private placedSize: Resources = NO_RESOURCES;
  private latencyCriticalDemand = 0;
  private bestEffortDemand = 0;

  constructor(
    /** Agent and incarnation; identifies the incarnation in records. */
    readonly key: string,
    readonly agent: string,
    public traits: WorkerTraits,
  ) {}

  /** Runs placed here that are not known to have ended, by run key. */
  get placed(): ReadonlyMap<string, PlacedRun> {
    return this.runs;
  }

  addRun(name: string, run: PlacedRun): void {
    this.removeRun(name);
    this.runs.set(name, run);
    const {step} = run.reference;
    if (step.tailTargetMillis > 0) this.latencyCriticalRuns.set(name, run);
    if (step.fills) this.fillingRuns.set(name, run);
    this.placedSize = addResources(this.placedSize, reservedSize(step));
    this.countDemand(step, 1);
  }

  removeRun(name: string): void {
    const run = this.runs.get(name);
    if (!run) return;
    this.runs.delete(name);
    this.latencyCriticalRuns.delete(name);
    this.fillingRuns.delete(name);
    const {step} = run.reference;
    this.placedSize = subtractResources(this.placedSize, reservedSize(step));
    this.countDemand(step, -1);
  }

  /** Runs of best-effort tasks that are placed here, by run key. */
  get bestEffortRuns(): ReadonlyMap<string, PlacedRun> {
    return this.fillingRuns;
  }

  /** Reserved capacity, including that of runs that are being stopped. */
  get reserved(): Resources {
    let sum = this.placedSize;
    for (const run of this.unexpected.values()) {
      sum = addResources(sum, reservedSize(run));
    }
    return sum;
  }

  /** Processors that tasks with a tail target reserve. */
  get latencyCriticalMilliprocessors(): number {
    return this.latencyCriticalDemand;
  }

  /** Processors that best-effort tasks would use if these were free. */
  get bestEffortDemandMilliprocessors(): number {
    return this.bestEffortDemand;
  }

  /** True if a run is slowed to protect the tail latency of another one. */
  get isPaced(): boolean {
    for (const [name, percent] of this.paces) {
      if (percent < NEARLY_FULL_PERCENT && this.runs.has(name)) return true;
    }
    return false;
  }

  /** Tail ratios of the latency-critical tasks on this worker. */
  get tails(): Tail[] {
    const tails: Tail[] = [];
    for (const [name, {reference}] of this.latencyCriticalRuns) {
      const {tailTargetMillis, image} = reference.step;
      const measure = this.running.get(name)?.measure ?? 0;
      tails.push({image, ratio: measure / tailTargetMillis});
    }
    return tails;
  }

  private countDemand(
    {tailTargetMillis, fills, size}: PlacedRun['reference']['step'],
    sign: 1 | -1,
  ): void {
    const {milliprocessors} = size;
    if (tailTargetMillis > 0)
      this.latencyCriticalDemand += sign * milliprocessors;
    if (fills) this.bestEffortDemand += sign * milliprocessors;
  }
}

/** Best-effort tasks reserve memory and accelerators, but no processors. */
export function reservedSize({size, fills}: UnexpectedRun): Resources {
  return fills ? {...size, milliprocessors: 0} : size;
}

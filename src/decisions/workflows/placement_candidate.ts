import {fitsInto, subtractResources} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';
import type {ImageInterference, Tail} from './image_interference.js';
import type {ProbeLimit} from './tails/probe_limit.js';
import {PlacementObstacle} from './placement_obstacle.js';
import {reservedSize} from './worker_view.js';
import type {WorkerAllowance} from './worker_health.js';
import type {WorkerView} from './worker_view.js';
import type {TaskReference} from './workflow.js';

/** Share of its processors that must be unused for a best-effort task. */
export const MINIMUM_UNUSED_SHARE = 0.7;
/** Share of their reservation that latency-critical tasks use on average. */
export const LATENCY_CRITICAL_USE_SHARE = 0.55;

export interface PlacementCandidateOptions {
  readonly view: WorkerView;
  /** By default, any number of tasks is allowed. */
  readonly allowance?: WorkerAllowance;
  readonly suspicion?: number;
  readonly probeLimit?: ProbeLimit;
}

const UNLIMITED: WorkerAllowance = {
  tasks: Infinity,
  longRunningTasks: Infinity,
  lastResortTasks: 0,
  isInCooldown: false,
};

/** What a step may do beyond the limits of other steps. */
export interface CandidateExceptions {
  /** True if the task may go where others use all unused processors. */
  readonly sharesProcessors?: boolean;
  /** True if all workers that suit the task are in a cooldown. */
  readonly isLastResort?: boolean;
}

/** A worker with the capacity that the present round has left free. */
export class PlacementCandidate {
  readonly view: WorkerView;
  readonly suspicion: number;
  readonly isInCooldown: boolean;
  free: Resources;
  expectedUnusedMilliprocessors: number;
  private readonly allowance: WorkerAllowance;
  /** Number of tasks placed in this round. */
  private placedTasks = 0;
  /** Tail ratios, including the effect of placements of this round. */
  private tails: readonly Tail[];
  private readonly measuredTails: readonly Tail[];

  private readonly probeLimit: ProbeLimit | undefined;

  constructor(options: PlacementCandidateOptions) {
    const {view, allowance = UNLIMITED, suspicion = 0, probeLimit} = options;
    this.view = view;
    this.suspicion = suspicion;
    this.allowance = allowance;
    this.isInCooldown = allowance.isInCooldown;
    this.probeLimit = probeLimit;
    const {room: capacity} = view.traits;
    this.free = subtractResources(capacity, view.reserved);
    this.expectedUnusedMilliprocessors =
      this.free.milliprocessors +
      (1 - LATENCY_CRITICAL_USE_SHARE) * view.latencyCriticalMilliprocessors -
      view.bestEffortDemandMilliprocessors;
    this.measuredTails = view.tails;
    this.tails = probeLimit?.expectedTails(view.tails) ?? view.tails;
  }

  /**
   * Returns the worst tail ratio that is expected beside the best-effort task,
   * among the tails with which the task interferes.
   */
  expectedTailRatio(
    step: TaskReference['step'],
    interference: ImageInterference,
  ): number {
    let worst = 0;
    const share = this.shareOf(step);
    for (const tail of this.tails) {
      if (!interference.interferes(tail.image, step.image, share)) continue;
      const ratio = interference.expectedRatio(tail, step.image, share);
      worst = Math.max(worst, ratio);
    }
    return worst;
  }

  /** Returns the largest interference of the task with a run on this worker. */
  interferenceOf(
    step: TaskReference['step'],
    interference: ImageInterference,
  ): number {
    const share = this.shareOf(step);
    const interferences = this.tails.map(
      ({image}) => interference.interferenceOf(image, step.image) * share,
    );
    return Math.max(0, ...interferences);
  }

  /** The worst tail ratio, including the effect of placements of this round. */
  get worstTailRatio(): number {
    return Math.max(0, ...this.tails.map(({ratio}) => ratio));
  }

  /** How many more tasks the health of the worker allows in this round. */
  get allowedTasks(): number {
    return Math.max(0, this.allowance.tasks - this.placedTasks);
  }

  hasImage(image: string): boolean {
    return this.tails.some(tail => tail.image === image);
  }

  /** True if the task fits beside this number of tasks of its step. */
  mayRun(step: TaskReference['step'], tasksOfStep: number): boolean {
    return !this.obstacleFor(step, tasksOfStep);
  }

  /** Returns what rules the worker out beside this number of tasks. */
  obstacleFor(
    step: TaskReference['step'],
    tasksOfStep: number,
    {sharesProcessors = false, isLastResort = false}: CandidateExceptions = {},
  ): PlacementObstacle | undefined {
    if (this.placedTasks >= this.allowanceFor(step, isLastResort))
      return PlacementObstacle.COOLDOWN;
    const {requiredLabel, spreadLimit, fills, size} = step;
    const {labels} = this.view.traits;
    if (requiredLabel !== '' && !labels.includes(requiredLabel))
      return PlacementObstacle.LABEL;
    if (spreadLimit > 0 && tasksOfStep >= spreadLimit)
      return PlacementObstacle.SPREAD;
    if (!fitsInto(reservedSize(step), this.free))
      return PlacementObstacle.CAPACITY;
    if (!fills || sharesProcessors) return undefined;
    if (this.probeLimit && !this.isProbeAllowed(this.probeLimit, step))
      return PlacementObstacle.TAIL;
    const needed = MINIMUM_UNUSED_SHARE * size.milliprocessors;
    return this.expectedUnusedMilliprocessors >= needed
      ? undefined
      : PlacementObstacle.UNUSED_PROCESSORS;
  }

  /** Saves the free capacity and returns a function that restores it. */
  save(): () => void {
    const {free, expectedUnusedMilliprocessors, tails, placedTasks} = this;
    const restoreProbes = this.probeLimit?.save();
    return () => {
      restoreProbes?.();
      this.free = free;
      this.expectedUnusedMilliprocessors = expectedUnusedMilliprocessors;
      this.placedTasks = placedTasks;
      this.tails = tails;
    };
  }

  /** Reserves capacity for the task in this round. */
  reserve(step: TaskReference['step'], interference: ImageInterference): void {
    if (step.fills) {
      this.addInterference(step, interference);
      this.probeLimit?.add(step, this.shareOf(step));
    }
    if (step.tailTargetMillis > 0) {
      this.tails = [...this.tails, {image: step.image, ratio: 0}];
    }
    const size = reservedSize(step);
    this.free = subtractResources(this.free, size);
    this.expectedUnusedMilliprocessors -= step.size.milliprocessors;
    this.placedTasks++;
  }

  private allowanceFor(
    {lasting}: TaskReference['step'],
    isLastResort: boolean,
  ): number {
    const {tasks, longRunningTasks, lastResortTasks} = this.allowance;
    if (lasting) return longRunningTasks;
    return isLastResort ? Math.max(tasks, lastResortTasks) : tasks;
  }

  private addInterference(
    step: TaskReference['step'],
    interference: ImageInterference,
  ): void {
    const share = this.shareOf(step);
    this.tails = this.tails.map(tail => ({
      image: tail.image,
      ratio: interference.expectedRatio(tail, step.image, share),
    }));
  }

  private isProbeAllowed(
    probeLimit: ProbeLimit,
    step: TaskReference['step'],
  ): boolean {
    return probeLimit.allows(step, this.shareOf(step), this.measuredTails);
  }

  /** Share of the worker's processors that the best-effort task may use. */
  private shareOf({size}: TaskReference['step']): number {
    const {room: capacity} = this.view.traits;
    return size.milliprocessors / Math.max(1, capacity.milliprocessors);
  }
}

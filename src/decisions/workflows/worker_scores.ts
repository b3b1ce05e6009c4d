import type {ReservationNote} from './explaining/explanation.js';
import type {Backfill} from './gaps/backfill.js';
import type {ImageInterference} from './image_interference.js';
import type {PlacementCandidate} from './placement_candidate.js';
import {PlacementObstacle} from './placement_obstacle.js';
import type {WaitingStep} from './waiting_steps.js';
import type {WorkerView} from './worker_view.js';
import type {TaskReference} from './workflow.js';
import type {StepSpec} from './workflow_types.js';

/**
 * Best-effort tasks are not placed where a tail ratio is expected to exceed
 * this. It is below the ratio that pacing aims at, as the load of
 * latency-critical runs varies in the meantime.
 */
const MAXIMUM_TAIL_RATIO = 0.75;
export const HIGH_TAIL_RATIO = 0.6;
/** Places latency-critical tasks of one image on the same workers. */
const SAME_IMAGE_BONUS = 0.25;
/** Weight of a tail ratio above the high ratio, against unused processors. */
const TAIL_PENALTY = 2;
/**
 * Weight of the interference of a best-effort task with a tail latency. A task
 * that interferes is paced, and takes several times as long as on a worker
 * without processors to spare.
 */
const INTERFERENCE_PENALTY = 3;
/** Weight of a consecutive failure, as a share of a worker's processors. */
const SUSPICION_PENALTY = 0.3;
/** Applies to a worker on which the same task has failed. */
const FAILED_HERE_PENALTY = 2;
/** Applies to a rack other than that of the data or of the other tasks. */
const REMOTE_PENALTY = 0.5;

export interface WorkerScoresOptions {
  readonly waiting: WaitingStep;
  readonly candidates: readonly PlacementCandidate[];
  readonly interference: ImageInterference;
  /**
   * True if the tasks have waited so long that they may raise tail latencies.
   */
  readonly mayInterfere: boolean;
  /**
   * True if best-effort tasks may go where others use all unused processors.
   */
  readonly sharesProcessors?: boolean;
  /** Undefined if no reservation restricts the tasks. */
  readonly backfill?: Backfill;
  /** Workers on which the task has failed. */
  readonly workersThatFailed: (reference: TaskReference) => ReadonlySet<string>;
}

/** How suitable a worker is for a task of a step. */
export interface WorkerAssessment {
  readonly view: WorkerView;
  /** Undefined for a worker that is ruled out. */
  readonly score?: number;
  readonly obstacle?: PlacementObstacle;
  /** True if its rack is not that of the data or of the other tasks. */
  readonly isOnOtherRack: boolean;
  /** Absent if the worker is not reserved for another step. */
  readonly reservation?: ReservationNote;
}

/**
 * Scores the workers for the tasks of one step. The tasks are alike, so that a
 * score changes only where one of them was placed.
 */
export class WorkerScores {
  private readonly step: StepSpec;
  private readonly tasksOfStep = new Map<string, number>();
  private readonly isLastResort: boolean;
  /** By index of the candidate; minus infinity where the task may not run. */
  private readonly scores: number[];

  constructor(private readonly options: WorkerScoresOptions) {
    const {waiting, candidates} = options;
    this.step = waiting.workflow.spec.steps[waiting.step];
    for (const task of waiting.occurrence.tasks[waiting.step]) {
      for (const {worker} of task.placements) this.count(worker);
    }
    this.isLastResort = this.hasCooldownsOnly();
    this.scores = candidates.map(candidate => this.score(candidate));
  }

  /**
   * Reserves capacity on the best worker; undefined if no worker is suitable.
   */
  reserveBest(reference: TaskReference): PlacementCandidate | undefined {
    const {candidates, interference} = this.options;
    const index = this.bestFor(reference);
    if (index < 0) return undefined;
    const candidate = candidates[index];
    const isFirst = this.tasksOfStep.size === 0;
    candidate.reserve(this.step, interference);
    this.count(candidate.view.key);
    if (this.step.rackLocal && isFirst) this.scoreAll();
    else this.scores[index] = this.score(candidate);
    return candidate;
  }

  /** Returns all workers with their present scores and obstacles. */
  assessments(): WorkerAssessment[] {
    return this.options.candidates.map(candidate => {
      const {view} = candidate;
      const result = this.assess(candidate);
      const {rack} = view.traits;
      const isOnOtherRack =
        this.isAwayFromData(rack) || this.isAwayFromTasks(rack);
      const reservation = this.options.backfill?.noteOf(candidate);
      return typeof result === 'number'
        ? {view, score: result, isOnOtherRack}
        : {view, obstacle: result, isOnOtherRack, reservation};
    });
  }

  /** True if each worker that the tasks may run on is in a cooldown. */
  private hasCooldownsOnly(): boolean {
    const {waiting, candidates} = this.options;
    const {requiredLabel} = this.step;
    return candidates.every(({view, isInCooldown}) => {
      const {service, labels} = view.traits;
      const isSuitable =
        service === waiting.terms.service &&
        (requiredLabel === '' || labels.includes(requiredLabel));
      return isInCooldown || !isSuitable;
    });
  }

  private bestFor(reference: TaskReference): number {
    const {candidates, workersThatFailed} = this.options;
    const failedOn = workersThatFailed(reference);
    let best = -1;
    let bestScore = -Infinity;
    for (const [index, baseScore] of this.scores.entries()) {
      if (baseScore <= bestScore) continue;
      const isSuspect = failedOn.has(candidates[index].view.key);
      const score = isSuspect ? baseScore - FAILED_HERE_PENALTY : baseScore;
      if (score <= bestScore) continue;
      best = index;
      bestScore = score;
    }
    return best;
  }

  private scoreAll(): void {
    for (const [index, candidate] of this.options.candidates.entries()) {
      this.scores[index] = this.score(candidate);
    }
  }

  private count(worker: string): void {
    this.tasksOfStep.set(worker, (this.tasksOfStep.get(worker) ?? 0) + 1);
  }

  private score(candidate: PlacementCandidate): number {
    const result = this.assess(candidate);
    return typeof result === 'number' ? result : -Infinity;
  }

  /**
   * Returns the share of processors left unused, less penalties, or what rules
   * the worker out.
   */
  private assess(candidate: PlacementCandidate): number | PlacementObstacle {
    const {step} = this;
    const {view, suspicion} = candidate;
    const {service, room: capacity, rack} = view.traits;
    if (service !== this.options.waiting.terms.service)
      return PlacementObstacle.SERVICE;
    const tasksHere = this.tasksOfStep.get(view.key) ?? 0;
    const {sharesProcessors = false, backfill} = this.options;
    const obstacle = candidate.obstacleFor(step, tasksHere, {
      sharesProcessors,
      isLastResort: this.isLastResort,
    });
    if (obstacle) return obstacle;
    if (backfill?.isHeldBack(candidate)) return PlacementObstacle.RESERVATION;
    const left =
      candidate.expectedUnusedMilliprocessors - step.size.milliprocessors;
    let score = left / Math.max(1, capacity.milliprocessors);
    score -= SUSPICION_PENALTY * suspicion;
    if (step.tailTargetMillis > 0 && candidate.hasImage(step.image)) {
      score += SAME_IMAGE_BONUS;
    }
    if (step.fills) score -= this.tailPenalty(candidate);
    if (this.isAwayFromData(rack)) score -= REMOTE_PENALTY;
    if (this.isAwayFromTasks(rack)) score -= REMOTE_PENALTY;
    return score === -Infinity ? PlacementObstacle.TAIL : score;
  }

  private isAwayFromData(rack: string): boolean {
    const {dataRack} = this.step;
    return dataRack !== '' && dataRack !== rack;
  }

  private isAwayFromTasks(rack: string): boolean {
    return this.step.rackLocal && !this.isOnRackOf(rack);
  }

  /** Infinite if a best-effort task would raise the tail ratios too far. */
  private tailPenalty(candidate: PlacementCandidate): number {
    const {interference, mayInterfere} = this.options;
    const tail = candidate.expectedTailRatio(this.step, interference);
    const isInterfering = tail > 0;
    const isPaced = isInterfering && candidate.view.isPaced;
    if (tail > MAXIMUM_TAIL_RATIO || isPaced) {
      const isBelowMaximum = candidate.worstTailRatio < MAXIMUM_TAIL_RATIO;
      if (!isBelowMaximum || !mayInterfere) return Infinity;
    }
    const excess = Math.max(0, tail - HIGH_TAIL_RATIO);
    const interferenceHere = candidate.interferenceOf(this.step, interference);
    return TAIL_PENALTY * excess + INTERFERENCE_PENALTY * interferenceHere;
  }

  private isOnRackOf(rack: string): boolean {
    if (this.tasksOfStep.size === 0) return true;
    return this.options.candidates.some(
      ({view}) => this.tasksOfStep.has(view.key) && view.traits.rack === rack,
    );
  }
}

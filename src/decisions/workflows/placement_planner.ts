import {BlockedShapes} from './blocked_shapes.js';
import {CopyPlanner} from './copies/copy_planner.js';
import type {CopyRound} from './copies/copy_planner.js';
import type {Backfill} from './gaps/backfill.js';
import type {GapReservations} from './gaps/gap_reservations.js';
import {ReservationRound} from './gaps/reservation_round.js';
import type {ImageInterference} from './image_interference.js';
import {PlacementCandidate} from './placement_candidate.js';
import {findWaitingSteps} from './waiting_steps.js';
import type {WaitingSearch, WaitingStep} from './waiting_steps.js';
import {ProbeLimit} from './tails/probe_limit.js';
import type {WorkerHealth} from './worker_health.js';
import {WorkerScores} from './worker_scores.js';
import type {WorkerAssessment, WorkerScoresOptions} from './worker_scores.js';
import type {WorkerView} from './worker_view.js';
import type {TaskReference, Workflow} from './workflow.js';

/**
 * A workflow without placed runs for this long may raise tail latencies, if
 * this share of the pool's processors is not reserved.
 */
const MAXIMUM_WAIT_MILLIS = 1_500;
const IDLE_SHARE = 0.4;
/**
 * After this long one of its best-effort tasks runs although others use all
 * unused processors: best-effort runs share these, so that no workflow starves.
 */
const STARVED_MILLIS = 2_000;

/** A decision to run the task on the worker. */
export interface PlannedRun {
  readonly reference: TaskReference;
  readonly worker: WorkerView;
  /** The run number shared by the members of a gang; undefined otherwise. */
  readonly run?: number;
}

export interface PlacementRound extends WaitingSearch {
  readonly workers: readonly WorkerView[];
  readonly health: WorkerHealth;
  readonly interference: ImageInterference;
  /** Workers on which the task has failed. */
  readonly workersThatFailed: (reference: TaskReference) => ReadonlySet<string>;
  /** Returns how long a workflow has had no placed runs, in milliseconds. */
  readonly idleMillis: (workflow: Workflow) => number;
  /** True if `ProbeLimit` applies. */
  readonly limitsProbes?: boolean;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Absent in live rounds. */
  readonly observer?: PlacementObserver;
  /** Absent if no task gets a second run. */
  readonly copies?: CopyRound;
  /** Absent if no workers are reserved for large tasks. */
  readonly reservations?: GapReservations;
}

/** Receives what a round decides by, without an effect on the round. */
export interface PlacementObserver {
  /** Called before each step is placed. */
  onStep(waiting: WaitingStep, assess: () => WorkerAssessment[]): void;
  /** Called when a task of the step has found no worker. */
  onUnplaced(waiting: WaitingStep, assess: () => WorkerAssessment[]): void;
  /** Called at the end, to assess workers for steps that were not waiting. */
  onEnd(assess: (waiting: WaitingStep) => WorkerAssessment[]): void;
}

/**
 * Decides which waiting tasks run where.
 *
 * Load pattern: short urgent workflows arrive steadily among large ones that
 * use the remaining capacity. Urgent queues go first, then the order of
 * `WorkflowOrder` applies. Tasks that reserve processors go to the worker that
 * keeps most free for others, and best-effort tasks only to a worker with
 * unused processors and low tail ratios, as one throttled task delays its whole
 * workflow.
 */
export function planPlacements(round: PlacementRound): PlannedRun[] {
  return new PlacementPlanner(round).plan();
}

/** Assesses the workers for the tasks of a step before any task is placed. */
export function assessWorkers(
  round: PlacementRound,
  waiting: WaitingStep,
): WorkerAssessment[] {
  const planner = new PlacementPlanner({...round, reservations: undefined});
  return planner.assess(waiting);
}

/** One round of placement, with the capacity that it has left free. */
class PlacementPlanner {
  private readonly candidates: readonly PlacementCandidate[];
  private readonly blocked = new BlockedShapes();
  private readonly reservations: ReservationRound | undefined;
  private cachedIsPoolIdle: boolean | undefined;

  constructor(private readonly round: PlacementRound) {
    const {workers, health, interference, limitsProbes, now} = round;
    const {reservations} = round;
    this.candidates = workers.map(
      view =>
        new PlacementCandidate({
          view,
          allowance: health.allowancesOf(view, now),
          suspicion: health.suspicion(view.key),
          probeLimit: limitsProbes
            ? new ProbeLimit(view, interference)
            : undefined,
        }),
    );
    if (!reservations) return;
    const {candidates} = this;
    this.reservations = new ReservationRound({reservations, candidates, now});
  }

  plan(): PlannedRun[] {
    const planned: PlannedRun[] = [];
    const {observer} = this.round;
    for (const waiting of findWaitingSteps(this.round)) {
      observer?.onStep(waiting, () => this.assess(waiting));
      const step = waiting.workflow.spec.steps[waiting.step];
      const ofStep = step.gang
        ? this.placeGang(waiting)
        : this.placeStep(waiting, step);
      this.reservations?.record(waiting, ofStep);
      planned.push(...ofStep);
    }
    observer?.onEnd(waiting => this.assess(waiting));
    this.reservations?.finish(planned, this.round.interference);
    const {copies} = this.round;
    if (!copies) return planned;
    const copyPlanner = new CopyPlanner(this.round, copies, this.candidates);
    return [...planned, ...copyPlanner.plan()];
  }

  assess(waiting: WaitingStep): WorkerAssessment[] {
    const mayInterfere = this.mayInterfere(waiting);
    const backfill = this.reservations?.backfillOf(waiting);
    return this.scoresFor(waiting, {mayInterfere, backfill}).assessments();
  }

  /** Places all tasks that fit, unless equal ones did not fit before. */
  private placeStep(
    waiting: WaitingStep,
    step: TaskReference['step'],
  ): PlannedRun[] {
    const {service} = waiting.terms;
    const mayInterfere = step.fills && this.mayInterfere(waiting);
    const backfill = this.reservations?.backfillOf(waiting);
    const highMillis = backfill?.highMillis;
    if (!this.blocked.isBlocked(service, step, mayInterfere, highMillis)) {
      const planned = this.placeTasks(waiting, {mayInterfere, backfill});
      if (planned.length === waiting.tasks.length) return planned;
      const heldMillis = backfill?.hasHeldBack ? highMillis : 0;
      this.blocked.record(service, step, mayInterfere, heldMillis);
      if (planned.length > 0) return planned;
    }
    return this.placeStarved(waiting, mayInterfere, backfill);
  }

  /** Lets one task of a starved workflow share processors that others use. */
  private placeStarved(
    waiting: WaitingStep,
    mayInterfere: boolean,
    backfill: Backfill | undefined,
  ): PlannedRun[] {
    const {workflow, tasks} = waiting;
    if (!mayInterfere || this.round.idleMillis(workflow) < STARVED_MILLIS) {
      return [];
    }
    const first = {...waiting, tasks: tasks.slice(0, 1)};
    return this.placeTasks(first, {
      mayInterfere,
      sharesProcessors: true,
      backfill,
    });
  }

  private placeTasks(
    waiting: WaitingStep,
    allowed: Pick<
      WorkerScoresOptions,
      'mayInterfere' | 'sharesProcessors' | 'backfill'
    >,
    run?: number,
  ): PlannedRun[] {
    const scores = this.scoresFor(waiting, allowed);
    const planned: PlannedRun[] = [];
    for (const reference of waiting.tasks) {
      const candidate = scores.reserveBest(reference);
      // Tasks of a step are identical: the next does not fit either.
      if (!candidate) {
        this.round.observer?.onUnplaced(waiting, () => scores.assessments());
        break;
      }
      planned.push({reference, worker: candidate.view, run});
    }
    return planned;
  }

  private scoresFor(
    waiting: WaitingStep,
    allowed: Pick<
      WorkerScoresOptions,
      'mayInterfere' | 'sharesProcessors' | 'backfill'
    >,
  ): WorkerScores {
    const {interference, workersThatFailed} = this.round;
    const {candidates} = this;
    return new WorkerScores({
      waiting,
      candidates,
      interference,
      workersThatFailed,
      ...allowed,
    });
  }

  /** Places all members at once or none, under one run number. */
  private placeGang(waiting: WaitingStep): PlannedRun[] {
    const {occurrence, step, tasks} = waiting;
    const members = occurrence.tasks[step];
    if (tasks.length < members.length) return [];
    const run = 1 + Math.max(...members.map(member => member.lastRun));
    const restores = this.candidates.map(candidate => candidate.save());
    const mayInterfere = this.mayInterfere(waiting);
    const backfill = this.reservations?.backfillOf(waiting);
    const allowed = {mayInterfere, backfill};
    const planned = this.placeTasks(waiting, allowed, run);
    if (planned.length === tasks.length) return planned;
    for (const restore of restores) restore();
    return [];
  }

  /** True if the workflow has waited long enough to raise tail latencies. */
  private mayInterfere({workflow}: WaitingStep): boolean {
    const idleMillis = this.round.idleMillis(workflow);
    return idleMillis >= MAXIMUM_WAIT_MILLIS && this.isPoolIdle;
  }

  /** True if a large share of the pool's processors is not reserved. */
  private get isPoolIdle(): boolean {
    this.cachedIsPoolIdle ??= isIdle(this.round.workers);
    return this.cachedIsPoolIdle;
  }
}

function isIdle(workers: readonly WorkerView[]): boolean {
  let capacity = 0;
  let reserved = 0;
  for (const view of workers) {
    capacity += view.traits.room.milliprocessors;
    reserved += view.reserved.milliprocessors;
  }
  return reserved < (1 - IDLE_SHARE) * capacity;
}

import type {TaskReference, Workflow, Occurrence} from './workflow.js';
import type {QueueTerms} from './workflow_types.js';
import {PlacementCandidate} from './placement_candidate.js';
import type {WorkerView} from './worker_view.js';
import type {FillInterference} from './fill_interference.js';
import type {WorkerHealth} from './worker_health.js';
import {compareRanks} from './workflow_order.js';
import type {WorkflowOrder, WorkflowRank} from './workflow_order.js';

/**
 * A tail expected above this share of its target keeps filling tasks away. It is
 * below what pacing aims at, as the load of what serves swings in between.
 */
const HIGHEST_TAIL_SHARE = 0.75;
const HIGH_TAIL_SHARE = 0.6;
/**
 * A workflow with nothing running for this long may press on tails, if this
 * share of the pool's processors is not reserved.
 */
const LONGEST_WAIT_MILLIS = 1_500;
const IDLE_SHARE = 0.4;
/** For a serving task beside others of its image, so that images gather. */
const SAME_IMAGE_BONUS = 0.25;
/** Weight of a tail above the high share, against unused processors. */
const TAIL_PENALTY = 2;
/** A failure in a row weighs as much as this share of a worker's processors. */
const SUSPICION_PENALTY = 0.3;
/** For a worker on which this very task has failed. */
const FAILED_HERE_PENALTY = 2;
/** For a rack away from the data, or away from the other tasks of the step. */
const REMOTE_PENALTY = 0.5;

/** Tasks of one step that wait for a worker. */
interface WaitingStep {
  readonly workflow: Workflow;
  readonly occurrence: Occurrence;
  readonly step: number;
  readonly tasks: readonly TaskReference[];
  readonly terms: QueueTerms;
  readonly rank: WorkflowRank;
}

/** A decision: run the task there. */
export interface PlannedRun {
  readonly reference: TaskReference;
  readonly worker: WorkerView;
  /** Given where the members of a gang share it. */
  readonly run?: number;
}

export interface PlacementRound {
  readonly workflows: Iterable<Workflow>;
  readonly workers: readonly WorkerView[];
  readonly health: WorkerHealth;
  readonly interference: FillInterference;
  readonly order: WorkflowOrder;
  /** Undefined for a queue of which nothing is known. */
  readonly termsOf: (workflow: Workflow) => QueueTerms | undefined;
  /** Whether the task may be placed now, as far as earlier tries say. */
  readonly mayPlace: (reference: TaskReference) => boolean;
  /** Whether the task has failed on the worker. */
  readonly hasFailedOn: (reference: TaskReference, worker: string) => boolean;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Calendar time in milliseconds. */
  readonly wallNow: number;
}

/** A round with what is the same for all of its tasks. */
interface PlanningRound extends PlacementRound {
  readonly isPoolIdle: boolean;
}

/**
 * Decides which waiting tasks run where.
 *
 * Load pattern: short urgent workflows arrive steadily among large ones that
 * fill what is left. Urgent queues go first, then the order of `WorkflowOrder`
 * holds. Tasks that reserve processors go to the worker that keeps most for
 * others, and filling tasks only to a worker with processors and tails to
 * spare, for one that crawls holds back its whole workflow.
 */
export function planPlacements(given: PlacementRound): PlannedRun[] {
  const round = {...given, isPoolIdle: isPoolIdle(given.workers)};
  const candidates = round.workers.map(
    view =>
      new PlacementCandidate(
        view,
        round.health.allowance(view.key, view.placed.size, round.now),
        round.health.suspicion(view.key),
      ),
  );
  const planned: PlannedRun[] = [];
  for (const waiting of waitingSteps(round)) {
    const step = waiting.workflow.spec.steps[waiting.step];
    if (step.gang) planned.push(...placeGang(round, waiting, candidates));
    else planned.push(...placeTasks(round, waiting, candidates));
  }
  return planned;
}

/**
 * Whether some worker has room for the task; for a filling one, processors and
 * tails to spare.
 */
export function hasPlace(
  step: TaskReference['step'],
  workers: readonly WorkerView[],
  interference: FillInterference,
): boolean {
  return workers.some(view => {
    const candidate = new PlacementCandidate(view, Infinity, 0);
    if (!candidate.mayRun(step, 0)) return false;
    if (!step.fills) return true;
    const tail = candidate.expectedTail(step, interference);
    return tail === 0 || (!view.isPaced && tail <= HIGH_TAIL_SHARE);
  });
}

function waitingSteps(round: PlacementRound): WaitingStep[] {
  const waiting: WaitingStep[] = [];
  for (const workflow of round.workflows) {
    if (!workflow.isOpen) continue;
    const terms = round.termsOf(workflow);
    if (!terms) continue;
    for (const occurrence of workflow.occurrences.values()) {
      waiting.push(...waitingStepsOf(round, workflow, occurrence, terms));
    }
  }
  return waiting.sort(compareSteps);
}

function waitingStepsOf(
  round: PlacementRound,
  workflow: Workflow,
  occurrence: Occurrence,
  terms: QueueTerms,
): WaitingStep[] {
  const found: WaitingStep[] = [];
  let rank: WorkflowRank | undefined;
  for (const step of workflow.spec.steps.keys()) {
    const states = occurrence.tasks[step];
    if (!states.some(task => !task.done && task.placements.length === 0)) {
      continue;
    }
    if (!workflow.isStepOpen(occurrence, step)) continue;
    const tasks = waitingTasks(round, workflow, occurrence, step);
    if (tasks.length === 0) continue;
    rank ??= round.order.rank(workflow, occurrence, terms, round.wallNow);
    found.push({workflow, occurrence, step, tasks, terms, rank});
  }
  return found;
}

function waitingTasks(
  round: PlacementRound,
  workflow: Workflow,
  occurrence: Occurrence,
  step: number,
): TaskReference[] {
  const tasks: TaskReference[] = [];
  for (const [index, task] of occurrence.tasks[step].entries()) {
    if (task.done || task.placements.length > 0) continue;
    const reference = workflow.find({
      workflow: workflow.id,
      occurrence: occurrence.number,
      step,
      index,
    })!;
    if (round.mayPlace(reference)) tasks.push(reference);
  }
  return tasks;
}

/** What is lasting goes first, since it is owed from the beginning. */
function compareSteps(left: WaitingStep, right: WaitingStep): number {
  const isLeftLasting = left.workflow.spec.steps[left.step].lasting;
  const isRightLasting = right.workflow.spec.steps[right.step].lasting;
  if (isLeftLasting !== isRightLasting) return isLeftLasting ? -1 : 1;
  return compareRanks(left.rank, right.rank);
}

function placeTasks(
  round: PlanningRound,
  waiting: WaitingStep,
  candidates: readonly PlacementCandidate[],
  run?: number,
): PlannedRun[] {
  const planned: PlannedRun[] = [];
  const used = usedWorkers(waiting);
  for (const reference of waiting.tasks) {
    const candidate = chooseWorker(round, waiting, reference, candidates, used);
    // Tasks of a step are alike: the next finds no room either.
    if (!candidate) break;
    const {key} = candidate.view;
    candidate.take(reference.step, round.interference);
    used.set(key, (used.get(key) ?? 0) + 1);
    planned.push({reference, worker: candidate.view, run});
  }
  return planned;
}

/** Places all members at once or none, under one run number. */
function placeGang(
  round: PlanningRound,
  waiting: WaitingStep,
  candidates: readonly PlacementCandidate[],
): PlannedRun[] {
  const {occurrence, step, tasks} = waiting;
  const members = occurrence.tasks[step];
  if (tasks.length < members.length) return [];
  const run = 1 + Math.max(...members.map(member => member.lastRun));
  const restores = candidates.map(candidate => candidate.save());
  const planned = placeTasks(round, waiting, candidates, run);
  if (planned.length === tasks.length) return planned;
  for (const restore of restores) restore();
  return [];
}

/** How many tasks of the step each worker has. */
function usedWorkers({occurrence, step}: WaitingStep): Map<string, number> {
  const used = new Map<string, number>();
  for (const task of occurrence.tasks[step]) {
    for (const {worker} of task.placements) {
      used.set(worker, (used.get(worker) ?? 0) + 1);
    }
  }
  return used;
}

function chooseWorker(
  round: PlanningRound,
  waiting: WaitingStep,
  reference: TaskReference,
  candidates: readonly PlacementCandidate[],
  used: ReadonlyMap<string, number>,
): PlacementCandidate | undefined {
  const {step} = reference;
  let best: PlacementCandidate | undefined;
  let bestScore = -Infinity;
  for (const candidate of candidates) {
    const {view} = candidate;
    if (view.traits.service !== waiting.terms.service) continue;
    if (!candidate.mayRun(step, used.get(view.key) ?? 0)) continue;
    const score = scoreOf(round, reference, candidate, used);
    if (score <= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

/** Larger is better: the share of processors that stay unused, less penalties. */
function scoreOf(
  round: PlanningRound,
  reference: TaskReference,
  candidate: PlacementCandidate,
  used: ReadonlyMap<string, number>,
): number {
  const {step} = reference;
  const {view, suspicion} = candidate;
  const {room, rack} = view.traits;
  const left = candidate.fillRoomMilliprocessors - step.size.milliprocessors;
  let score = left / Math.max(1, room.milliprocessors);
  score -= SUSPICION_PENALTY * suspicion;
  if (step.tailTargetMillis > 0 && candidate.hasImage(step.image)) {
    score += SAME_IMAGE_BONUS;
  }
  if (step.fills) {
    const tail = candidate.expectedTail(step, round.interference);
    const presses = tail > 0;
    const isCrowded = tail > HIGHEST_TAIL_SHARE || (presses && view.isPaced);
    const mayTry = candidate.worstTail < HIGHEST_TAIL_SHARE;
    if (isCrowded && !(mayTry && mayPress(round, reference))) return -Infinity;
    score -= TAIL_PENALTY * Math.max(0, tail - HIGH_TAIL_SHARE);
    score -= candidate.pressureOf(step, round.interference);
  }
  if (step.dataRack !== '' && step.dataRack !== rack) score -= REMOTE_PENALTY;
  if (step.rackLocal && !isOnRackOf(round, used, rack)) score -= REMOTE_PENALTY;
  if (round.hasFailedOn(reference, view.key)) score -= FAILED_HERE_PENALTY;
  return score;
}

/** Whether the workflow has waited long enough to press on tails. */
function mayPress(round: PlanningRound, reference: TaskReference): boolean {
  const {workflow, occurrence} = reference;
  for (const {task} of workflow.tasks()) {
    if (task.placements.length > 0) return false;
  }
  if (round.wallNow - occurrence.dueAtMillis < LONGEST_WAIT_MILLIS)
    return false;
  return round.isPoolIdle;
}

/** Whether much of the pool's processors is not reserved. */
function isPoolIdle(workers: readonly WorkerView[]): boolean {
  let capacity = 0;
  let reserved = 0;
  for (const view of workers) {
    capacity += view.traits.room.milliprocessors;
    reserved += view.reserved.milliprocessors;
  }
  return reserved < (1 - IDLE_SHARE) * capacity;
}

function isOnRackOf(
  round: PlacementRound,
  used: ReadonlyMap<string, number>,
  rack: string,
): boolean {
  if (used.size === 0) return true;
  return round.workers.some(
    view => used.has(view.key) && view.traits.rack === rack,
  );
}

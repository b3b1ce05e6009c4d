import {assessWorkers} from '../placement_planner.js';
import type {PlacementRound} from '../placement_planner.js';
import type {TaskReference} from '../workflow.js';
import type {WorkerCounts} from './explanation.js';
import type {UnusableWorker} from './placement_explainer.js';
import {countByObstacle} from './worker_ranking.js';

export interface ObstacleCountInput {
  /** The round as the owner would run it now. */
  readonly round: PlacementRound;
  /** A task that is not placed. */
  readonly reference: TaskReference;
  readonly unusableWorkers: readonly UnusableWorker[];
}

/**
 * Returns the numbers of workers by what keeps the task from them, or
 * `SUITABLE`, as it finds them before any other task is placed.
 */
export function countObstacles(input: ObstacleCountInput): WorkerCounts {
  const {round, reference, unusableWorkers} = input;
  const {workflow, occurrence, name} = reference;
  const terms = round.termsOf(workflow) ?? workflow.spec.terms;
  const rank = round.order.rank(workflow, occurrence, terms, round.wallNow);
  const {step} = name;
  const tasks = [reference];
  const waiting = {workflow, occurrence, step, terms, rank, tasks};
  const assessments = assessWorkers(round, waiting);
  return countByObstacle([...assessments, ...unusableWorkers]);
}

import {PlacementObstacle} from '../placement_obstacle.js';
import type {WorkerAssessment} from '../worker_scores.js';
import {SUITABLE} from './explanation.js';
import type {RankedWorker, StepExplanation} from './explanation.js';
import type {WorkerCounts} from './explanation.js';

/** Bounds the explanation of a step, whatever the size of the pool. */
const MAXIMUM_RANKED_WORKERS = 20;
const SCORE_DIGITS = 3;

/** The best workers for a step, and the number of the others. */
export type WorkerRanking = Pick<
  StepExplanation,
  'ranked' | 'notRanked' | 'tasksNotRanked'
>;

export interface WorkerRankingOptions {
  readonly assessments: readonly WorkerAssessment[];
  /** Placed tasks of the step, by worker. */
  readonly tasksByWorker: ReadonlyMap<string, number>;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** Ranks workers by their suitability; workers of other services go last. */
export function rankWorkers(options: WorkerRankingOptions): WorkerRanking {
  const sorted = [...options.assessments].sort(compareAssessments);
  const ranked = sorted
    .slice(0, MAXIMUM_RANKED_WORKERS)
    .map(assessment => describe(assessment, options));
  const others = sorted.slice(MAXIMUM_RANKED_WORKERS);
  let tasksNotRanked = 0;
  for (const {view} of others) {
    tasksNotRanked += options.tasksByWorker.get(view.key) ?? 0;
  }
  return {ranked, notRanked: countByObstacle(others), tasksNotRanked};
}

/** Returns the numbers of workers by obstacle. */
export function countByObstacle(
  assessments: ReadonlyArray<Pick<WorkerAssessment, 'obstacle'>>,
): WorkerCounts {
  const counts: Record<string, number> = {};
  for (const {obstacle = SUITABLE} of assessments) {
    counts[obstacle] = (counts[obstacle] ?? 0) + 1;
  }
  return counts;
}

function describe(
  {view, score, obstacle, isOnOtherRack, reservation}: WorkerAssessment,
  {tasksByWorker, now}: WorkerRankingOptions,
): RankedWorker {
  const {failureDomain, rack} = view.traits;
  return {
    worker: view.key,
    failureDomain,
    rack,
    tasks: tasksByWorker.get(view.key) ?? 0,
    score: score === undefined ? undefined : round(score),
    obstacle,
    isOnOtherRack,
    heardMillisAgo: Math.round(now - view.lastMessageAt),
    reservation,
  };
}

function compareAssessments(
  left: WorkerAssessment,
  right: WorkerAssessment,
): number {
  const byGroup = groupOf(left) - groupOf(right);
  if (byGroup !== 0) return byGroup;
  return (right.score ?? 0) - (left.score ?? 0);
}

function groupOf({obstacle}: WorkerAssessment): number {
  if (obstacle === undefined) return 0;
  return obstacle === PlacementObstacle.SERVICE ? 2 : 1;
}

function round(score: number): number {
  return Number(score.toFixed(SCORE_DIGITS));
}

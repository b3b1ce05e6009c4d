import {BASELINE, BatchSimulation, PRODUCT} from './batch_simulation.js';
import type {PolicySet} from './batch_simulation.js';
import {quantile} from './batch_metrics.js';
import type {BatchMetrics} from './batch_metrics.js';
import {drawJobs} from './batch_plans.js';
import type {FleetSize, ScenarioPlan} from './batch_plans.js';
import type {BatchScenario} from './batch_scenarios.js';
import type {ScenarioResult, ScenarioRow} from '../scenario.js';

const PROCESSOR_SECOND = 1e6;
const PERCENT = 100;
const FULL_PACE = 0.95;
const PACE_WINDOW_SECONDS = 5;

/** The runs of one scenario on one trace. */
export interface BatchRuns {
  readonly product: BatchMetrics;
  readonly baseline: BatchMetrics;
  /** Nothing goes wrong in it; the product itself where that is so anyway. */
  readonly reference: BatchMetrics;
}

export function compareBatch(
  scenario: BatchScenario,
  fleet: FleetSize,
  seed: number,
): ScenarioResult {
  const plan = scenario.plan(fleet);
  const product = runPlan(plan, PRODUCT, seed);
  const baseline = runPlan(plan, BASELINE, seed);
  const rows = [rowOf('product', product), rowOf('first fit', baseline)];
  let reference = product;
  if (scenario.reference) {
    reference = runPlan(scenario.reference(fleet), PRODUCT, seed);
    rows.push(rowOf('product, no fault', reference));
  }
  const runs = {product, baseline, reference};
  const work = product.finishedWork / baseline.finishedWork;
  const ratios = [{name: 'work against first fit', value: work}];
  return {rows, ratios: [...ratios, ...scenario.ratios(runs, fleet)]};
}

/** Seconds after the time until the pace of the reference is reached again. */
export function secondsUntilFullPace(
  {product, reference}: BatchRuns,
  fromSecond: number,
): number {
  const last = product.workBySecond.length - PACE_WINDOW_SECONDS;
  for (let second = fromSecond; second < last; second++) {
    const end = second + PACE_WINDOW_SECONDS;
    const full = reference.workBetween(second, end);
    if (product.workBetween(second, end) >= FULL_PACE * full) {
      return second - fromSecond;
    }
  }
  return Infinity;
}

export function runPlan(
  plan: ScenarioPlan,
  policySet: PolicySet,
  seed: number,
): BatchMetrics {
  const {vms, shards, durationMillis, faults} = plan;
  const jobs = drawJobs(plan, seed);
  const options = {vms, shards, durationMillis, jobs, policySet, seed, faults};
  return new BatchSimulation(options).run();
}

export function rowOf(variant: string, metrics: BatchMetrics): ScenarioRow {
  const {startedAttempts, refusedStarts, finishedWork} = metrics;
  const sent = Math.max(1, startedAttempts + refusedStarts);
  return {
    variant,
    figures: {
      finished: metrics.finishedTasks,
      'work cpu s': finishedWork / PROCESSOR_SECOND,
      'wasted %': PERCENT * metrics.wastedShare,
      'late %': PERCENT * metrics.lateShare,
      'tail p99 ms': quantile(metrics.serviceTails, 0.99),
      evicted: metrics.evictions,
      'failed try': metrics.failedAttempts,
      'failed task': metrics.failedTasks,
      lost: metrics.lostAttempts,
      doubled: metrics.doubledStarts,
      'refused %': (PERCENT * refusedStarts) / sent,
      'log B/task': metrics.logBytes / Math.max(1, metrics.finishedTasks),
      'wait p50 ms': quantile(metrics.normalWaits, 0.5),
      'urgent p99': quantile(metrics.urgentWaits, 0.99),
    },
  };
}

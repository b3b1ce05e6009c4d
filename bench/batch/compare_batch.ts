import {BASELINE, BatchSimulation, PRODUCT} from './batch_simulation.js';
import type {PolicySet} from './batch_simulation.js';
import {quantile} from './batch_metrics.js';
import type {BatchMetrics} from './batch_metrics.js';
import {drawJobs} from './batch_scenarios.js';
import type {
  BatchScenario,
  FleetSize,
  ScenarioPlan,
} from './batch_scenarios.js';

/** The figures of one run. */
export interface BatchFigures {
  readonly run: string;
  readonly finishedTasks: number;
  /** Finished work in processor seconds. */
  readonly finishedWork: number;
  readonly wastedShare: number;
  readonly lateShare: number;
  readonly evictions: number;
  readonly failedAttempts: number;
  readonly lostAttempts: number;
  readonly refusedShare: number;
  readonly waitMedianMillis: number;
  readonly urgentTailMillis: number;
  /** Finished work against the reference run; 0 without one. */
  readonly workShare: number;
  /** The same per unit of the capacity that was left; 0 where not defined. */
  readonly workShareOfLeft: number;
  /** Work done in the minutes two to five, against the reference run. */
  readonly faultWorkShare: number;
  /** Seconds after minute five until 95% of the reference's pace. */
  readonly backAfterSeconds: number;
}

const FAULT_FROM_SECOND = 120;
const FAULT_TO_SECOND = 300;
const WINDOW_SECONDS = 5;
const FULL_PACE = 0.95;
const WORK_UNIT = 1e6;

/** Runs product and baseline on the same trace, and the reference if any. */
export function compareBatch(
  scenario: BatchScenario,
  fleet: FleetSize,
  seed: number,
): BatchFigures[] {
  const plan = scenario.plan(fleet);
  const reference = scenario.reference?.(fleet);
  const referenceRun = reference && runPlan(reference, PRODUCT, seed);
  const figures = [PRODUCT, BASELINE].map(policySet => {
    const metrics = runPlan(plan, policySet, seed);
    const left = scenario.capacityLeft ?? 0;
    return describe(policySet.name, metrics, referenceRun, left);
  });
  if (referenceRun) {
    figures.push(describe('reference', referenceRun, referenceRun, 0));
  }
  return figures;
}

function runPlan(
  plan: ScenarioPlan,
  policySet: PolicySet,
  seed: number,
): BatchMetrics {
  const {vms, shards, durationMillis, faults} = plan;
  const jobs = drawJobs(plan, seed);
  const options = {vms, shards, durationMillis, jobs, policySet, seed, faults};
  return new BatchSimulation(options).run();
}

function describe(
  run: string,
  metrics: BatchMetrics,
  reference: BatchMetrics | undefined,
  capacityLeft: number,
): BatchFigures {
  const {startedAttempts, refusedStarts, finishedWork} = metrics;
  const workShare = reference ? finishedWork / reference.finishedWork : 0;
  return {
    run,
    finishedTasks: metrics.finishedTasks,
    finishedWork: finishedWork / WORK_UNIT,
    wastedShare: metrics.wastedShare,
    lateShare: metrics.lateShare,
    evictions: metrics.evictions,
    failedAttempts: metrics.failedAttempts,
    lostAttempts: metrics.lostAttempts,
    refusedShare: refusedStarts / Math.max(1, startedAttempts + refusedStarts),
    waitMedianMillis: quantile(metrics.normalWaits, 0.5),
    urgentTailMillis: quantile(metrics.urgentWaits, 0.99),
    workShare,
    workShareOfLeft: capacityLeft === 0 ? 0 : workShare / capacityLeft,
    faultWorkShare: reference ? faultWorkShare(metrics, reference) : 0,
    backAfterSeconds: reference ? backAfter(metrics, reference) : 0,
  };
}

function faultWorkShare(metrics: BatchMetrics, reference: BatchMetrics) {
  return (
    metrics.workBetween(FAULT_FROM_SECOND, FAULT_TO_SECOND) /
    reference.workBetween(FAULT_FROM_SECOND, FAULT_TO_SECOND)
  );
}

function backAfter(metrics: BatchMetrics, reference: BatchMetrics): number {
  const last = metrics.workBySecond.length - WINDOW_SECONDS;
  for (let second = FAULT_TO_SECOND; second < last; second++) {
    const end = second + WINDOW_SECONDS;
    const pace = metrics.workBetween(second, end);
    const full = reference.workBetween(second, end);
    if (pace >= FULL_PACE * full) return second - FAULT_TO_SECOND;
  }
  return Infinity;
}

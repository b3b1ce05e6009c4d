import {FailureEvidence, FailureProfile} from './failure_evidence.js';
import type {RunFailure} from './failure_evidence.js';
import type {PlacedRun} from './workflow.js';
import type {WorkerView} from './worker_view.js';

/**
 * Load pattern: a worker that fails every task at once also has free capacity
 * again at once, and so attracts the work of the whole pool. Workflows that can
 * never be done fail on all workers, which must stay available to the others.
 */

/** Consecutive failures, of different workflows, that start a cooldown. */
const FAILURES_BEFORE_COOLDOWN = 2;
/** The first cooldown; each further one is twice as long, up to the maximum. */
const FIRST_COOLDOWN_MILLIS = 3_000;
const MAXIMUM_COOLDOWN_MILLIS = 12_000;
/** Cooldown of a worker that refused a start because it is unhealthy. */
const REFUSAL_COOLDOWN_MILLIS = 500;
/** Concurrent tasks allowed after a cooldown, until one of them succeeds. */
const TASKS_ON_TRIAL = 1;
/**
 * A trial without a failure ends after this time, as nothing that waits may be
 * placeable on trial, such as a gang with several members on the worker.
 */
const MAXIMUM_TRIAL_MILLIS = 12_000;
/** Time after a failure in which a worker is not tried as the last resort. */
const LAST_RESORT_MILLIS = 1_000;
const ALL_PERCENT = 100;

interface Record {
  /** Workflows whose failures count against the worker. */
  failedWorkflows: Set<string>;
  /**
   * Workflows at fault that failed here. They start no cooldown, but workers
   * without any are preferred.
   */
  disputedWorkflows: Set<string>;
  /** Of the failed ones, the ones that started the cooldown, and the number it takes. */
  causes: Set<string>;
  neededCauses: number;
  /** True if runs made no progress, rather than failed. */
  isStalled: boolean;
  lastFailureAt: number;
  cooldownUntil: number;
  cooldownMillis: number;
  onTrial: boolean;
  /** Runs placed since then are on trial, or tell whether one is needed. */
  trialSince: number;
  /** From then on a long-running task may be tried, even in a cooldown. */
  longRunningFrom: number;
  profile: FailureProfile;
}

/** How many more tasks may be placed on a worker now. */
export interface WorkerAllowance {
  readonly tasks: number;
  readonly longRunningTasks: number;
  /** If all workers that suit the tasks are in a cooldown. */
  readonly lastResortTasks: number;
  readonly isInCooldown: boolean;
}

/** Tracks the health of workers by the outcomes of their runs. */
export class WorkerHealth {
  private readonly records = new Map<string, Record>();
  private readonly evidence = new FailureEvidence();
  /** Workflows whose failures count against no worker. */
  private faultyWorkflows = new Set<string>();
  private failureCount = 0;
  /** Number of failures before the last success, by worker. */
  private readonly failuresBeforeSuccess = new Map<string, number>();

  allowancesOf(view: WorkerView, now: number): WorkerAllowance {
    const record = this.records.get(view.key);
    return {
      tasks: this.allowanceOf(view, now),
      longRunningTasks: this.longRunningAllowanceOf(view, now),
      lastResortTasks: record ? lastResortAllowance(view, record, now) : 0,
      isInCooldown: record !== undefined && now < record.cooldownUntil,
    };
  }

  /** True if the workflow fails wherever it runs. */
  isAtFault(workflow: string): boolean {
    return this.faultyWorkflows.has(workflow);
  }

  /** Returns how many more tasks may be placed on the worker now. */
  allowanceOf(view: WorkerView, now: number): number {
    const record = this.records.get(view.key);
    if (!record) return Infinity;
    return this.allowance(view.key, countRunsOnTrial(view, record), now);
  }

  /**
   * Returns how many more long-running tasks may be placed on the worker now.
   * They are due at once and may fail any number of times, so that one is tried
   * long before a long cooldown ends.
   */
  longRunningAllowanceOf(view: WorkerView, now: number): number {
    const record = this.records.get(view.key);
    if (!record || now >= record.cooldownUntil)
      return this.allowanceOf(view, now);
    if (now < record.longRunningFrom) return 0;
    return Math.max(0, TASKS_ON_TRIAL - countRunsOnTrial(view, record));
  }

  /** As `allowanceOf`, with the number of runs there that are on trial. */
  allowance(worker: string, runsOnTrial: number, now: number): number {
    const record = this.records.get(worker);
    if (!record) return Infinity;
    if (now < record.cooldownUntil) return 0;
    const isOnTrial =
      record.onTrial && now < record.cooldownUntil + MAXIMUM_TRIAL_MILLIS;
    return isOnTrial ? Math.max(0, TASKS_ON_TRIAL - runsOnTrial) : Infinity;
  }

  /**
   * Returns the consecutive failures, by workflow, plus one for a worker on
   * trial. Workers without any are preferred.
   */
  suspicion(worker: string): number {
    const record = this.records.get(worker);
    if (!record) return 0;
    const {failedWorkflows, disputedWorkflows, onTrial} = record;
    return failedWorkflows.size + disputedWorkflows.size + (onTrial ? 1 : 0);
  }

  /** Returns other workers that the success shows to be unhealthy. */
  recordSuccess(worker: string, workflow?: string, now = 0): string[] {
    this.records.delete(worker);
    this.failuresBeforeSuccess.set(worker, this.failureCount);
    return workflow === undefined ? [] : this.recordWork(workflow, worker, now);
  }

  /** True if the failure starts a cooldown. */
  recordFailure(
    worker: string,
    workflow: string,
    now: number,
    failure: RunFailure = {},
  ): boolean {
    this.addEvidence(worker, workflow, now, failure);
    if (this.isAtFault(workflow)) return false;
    return this.charge(worker, workflow, now, failure);
  }

  /**
   * Called when runs of the workflows were paused or throttled while runs on
   * other workers made progress. True if this starts a cooldown.
   */
  recordStall(
    worker: string,
    now: number,
    failures: ReadonlyMap<string, RunFailure> = new Map(),
  ): boolean {
    for (const [workflow, failure] of failures)
      this.addEvidence(worker, workflow, now, failure);
    const causes = [...failures.keys()].filter(each => !this.isAtFault(each));
    if (failures.size > 0 && causes.length === 0) return false;
    const record = this.recordOf(worker);
    record.lastFailureAt = now;
    const isNew = this.startCooldown(record, now, Math.min(1, causes.length));
    for (const cause of causes) record.causes.add(cause);
    record.isStalled = true;
    return isNew;
  }

  /**
   * Ends cooldown and trial of the worker if one of its runs has come further
   * than those that failed. A next cooldown is longer all the same, since the
   * run may still fail. Returns other workers that were found to be unhealthy.
   */
  observe(
    view: WorkerView,
    now: number,
    isAdvancing: (run: string) => boolean,
  ): string[] {
    const unhealthy: string[] = [];
    const record = this.records.get(view.key);
    if (!record && this.evidence.isEmpty) return unhealthy;
    for (const [name, placed] of view.placed) {
      const {percent = 0} = view.running.get(name) ?? {};
      const isAtWork = isLongRunningAtWork(placed, percent);
      if (!isAtWork && !isAdvancing(name)) continue;
      const {workflow} = placed.reference;
      const workedMillis = now - (placed.placedAt ?? now);
      if (this.evidence.isOutlivedBy(workflow.id, workedMillis, percent))
        unhealthy.push(...this.recordWork(workflow.id, view.key, now));
      if (!record || !isSuspected(record)) continue;
      if ((placed.placedAt ?? -Infinity) < record.trialSince) continue;
      // Long-running tasks are listed as at work even if they stand still.
      if (isAtWork && record.isStalled) continue;
      if (!record.profile.isOutlivedBy(workedMillis, percent)) continue;
      endCooldown(record);
      record.failedWorkflows.clear();
      record.disputedWorkflows.clear();
    }
    return unhealthy;
  }

  /** Called when a workflow has ended. */
  forgetWorkflow(workflow: string): void {
    this.evidence.forget(workflow);
    this.faultyWorkflows.delete(workflow);
    for (const {disputedWorkflows} of this.records.values())
      disputedWorkflows.delete(workflow);
  }

  recordRefusal(worker: string, now: number): void {
    const record = this.recordOf(worker);
    const until = now + REFUSAL_COOLDOWN_MILLIS;
    record.cooldownUntil = Math.max(record.cooldownUntil, until);
    record.longRunningFrom = Math.max(record.longRunningFrom, until);
  }

  forget(worker: string): void {
    this.records.delete(worker);
    this.failuresBeforeSuccess.delete(worker);
  }

  private addEvidence(
    worker: string,
    workflow: string,
    now: number,
    failure: RunFailure,
  ): void {
    const mark = {number: ++this.failureCount, at: now};
    this.evidence.recordFailure(workflow, worker, mark, failure);
    this.reassess(now);
    if (this.isAtFault(workflow))
      this.recordOf(worker).disputedWorkflows.add(workflow);
  }

  /** Returns other workers that are found to be unhealthy. */
  private recordWork(workflow: string, worker: string, now: number): string[] {
    this.evidence.recordWork(workflow, worker);
    return this.reassess(now);
  }

  /**
   * Clears workers of the failures of workflows found at fault, and charges them
   * again with those of workflows that no longer are.
   */
  private reassess(now: number): string[] {
    const before = this.faultyWorkflows;
    this.faultyWorkflows = this.evidence.faultyWorkflows;
    for (const workflow of this.faultyWorkflows) {
      if (!before.has(workflow)) this.withdraw(workflow);
    }
    const unhealthy: string[] = [];
    for (const workflow of before) {
      if (!this.faultyWorkflows.has(workflow))
        unhealthy.push(...this.restore(workflow, now));
    }
    return unhealthy;
  }

  private charge(
    worker: string,
    workflow: string,
    now: number,
    failure: RunFailure,
    failedAt = now,
  ): boolean {
    const record = this.recordOf(worker);
    if (!isSuspected(record)) record.trialSince = failedAt;
    record.disputedWorkflows.delete(workflow);
    record.failedWorkflows.add(workflow);
    record.lastFailureAt = now;
    record.profile.record(failure);
    if (now < record.cooldownUntil)
      record.longRunningFrom = now + FIRST_COOLDOWN_MILLIS;
    const tooMany = record.failedWorkflows.size >= FAILURES_BEFORE_COOLDOWN;
    if (!tooMany && !record.onTrial) return false;
    const causes = [...record.failedWorkflows];
    const isNew = this.startCooldown(record, now, causes.length);
    if (isNew) record.trialSince = failedAt;
    for (const cause of causes) record.causes.add(cause);
    return isNew;
  }

  /** Clears the workers of the failures of a workflow that is at fault. */
  private withdraw(workflow: string): void {
    for (const record of this.records.values()) {
      if (record.failedWorkflows.delete(workflow))
        record.disputedWorkflows.add(workflow);
      if (!record.causes.delete(workflow)) continue;
      record.disputedWorkflows.add(workflow);
      if (record.causes.size >= record.neededCauses) continue;
      for (const cause of record.causes) record.failedWorkflows.add(cause);
      endCooldown(record);
      record.cooldownMillis = Math.max(
        record.cooldownMillis / 2,
        FIRST_COOLDOWN_MILLIS,
      );
    }
  }

  /** Leaves out failures that were followed by a success on the worker. */
  private restore(workflow: string, now: number): string[] {
    const unhealthy: string[] = [];
    for (const [worker, mark] of this.evidence.failuresOf(workflow)) {
      const before = this.failuresBeforeSuccess.get(worker) ?? 0;
      if (mark.number <= before) continue;
      if (this.charge(worker, workflow, now, {}, mark.at))
        unhealthy.push(worker);
    }
    return unhealthy;
  }

  private startCooldown(
    record: Record,
    now: number,
    neededCauses: number,
  ): boolean {
    if (now < record.cooldownUntil) return false;
    record.causes.clear();
    record.neededCauses = neededCauses;
    record.isStalled = false;
    record.cooldownUntil = now + record.cooldownMillis;
    record.longRunningFrom = now + FIRST_COOLDOWN_MILLIS;
    record.cooldownMillis = Math.min(
      2 * record.cooldownMillis,
      MAXIMUM_COOLDOWN_MILLIS,
    );
    record.onTrial = true;
    record.trialSince = now;
    record.failedWorkflows.clear();
    return true;
  }

  private recordOf(worker: string): Record {
    const known = this.records.get(worker);
    if (known) return known;
    const record: Record = {
      failedWorkflows: new Set(),
      disputedWorkflows: new Set(),
      causes: new Set(),
      neededCauses: 0,
      isStalled: false,
      lastFailureAt: -Infinity,
      profile: new FailureProfile(),
      cooldownUntil: -Infinity,
      cooldownMillis: FIRST_COOLDOWN_MILLIS,
      onTrial: false,
      trialSince: -Infinity,
      longRunningFrom: -Infinity,
    };
    this.records.set(worker, record);
    return record;
  }
}

function isSuspected({failedWorkflows, onTrial}: Record): boolean {
  return failedWorkflows.size > 0 || onTrial;
}

function endCooldown(record: Record): void {
  record.cooldownUntil = -Infinity;
  record.longRunningFrom = -Infinity;
  record.onTrial = false;
  record.causes.clear();
}

/** A worker that refuses starts is not tried: these would have no effect. */
function lastResortAllowance(
  view: WorkerView,
  record: Record,
  now: number,
): number {
  const isDue = now - record.lastFailureAt >= LAST_RESORT_MILLIS;
  if (!record.onTrial || !isDue) return 0;
  return Math.max(0, TASKS_ON_TRIAL - countRunsOnTrial(view, record));
}

/**
 * Runs from before the cooldown say nothing about the worker now, and may go on
 * for hours. A long-running one that is at work has passed its trial.
 */
function countRunsOnTrial(view: WorkerView, {trialSince}: Record): number {
  let count = 0;
  for (const [name, placed] of view.placed) {
    if ((placed.placedAt ?? -Infinity) < trialSince) continue;
    const percent = view.running.get(name)?.percent ?? 0;
    if (!isLongRunningAtWork(placed, percent)) count++;
  }
  return count;
}

function isLongRunningAtWork({reference}: PlacedRun, percent: number): boolean {
  return reference.step.lasting && percent >= ALL_PERCENT;
}

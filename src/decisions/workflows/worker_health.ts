import type {WorkerView} from './worker_view.js';

/**
 * Load pattern: a worker that fails every task at once also has free capacity
 * again at once, and so attracts the work of the whole pool.
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
const ALL_PERCENT = 100;

interface Record {
  failedWorkflows: Set<string>;
  cooldownUntil: number;
  cooldownMillis: number;
  onTrial: boolean;
  /** Runs placed since then are on trial. */
  trialSince: number;
  /** From then on a long-running task may be tried, even in a cooldown. */
  longRunningFrom: number;
}

/** Tracks the health of workers by the outcomes of their runs. */
export class WorkerHealth {
  private readonly records = new Map<string, Record>();

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
   * Returns the consecutive failures, plus one for a worker on trial. Workers
   * without any are preferred.
   */
  suspicion(worker: string): number {
    const record = this.records.get(worker);
    if (!record) return 0;
    return record.failedWorkflows.size + (record.onTrial ? 1 : 0);
  }

  recordSuccess(worker: string): void {
    this.records.delete(worker);
  }

  /** True if the failure starts a cooldown. */
  recordFailure(worker: string, workflow: string, now: number): boolean {
    const record = this.recordOf(worker);
    record.failedWorkflows.add(workflow);
    if (now < record.cooldownUntil)
      record.longRunningFrom = now + FIRST_COOLDOWN_MILLIS;
    const tooMany = record.failedWorkflows.size >= FAILURES_BEFORE_COOLDOWN;
    if (!tooMany && !record.onTrial) return false;
    return this.startCooldown(record, now);
  }

  /**
   * Called when a run was paused or throttled while runs on other workers made
   * progress. True if this starts a cooldown.
   */
  recordStall(worker: string, now: number): boolean {
    return this.startCooldown(this.recordOf(worker), now);
  }

  recordRefusal(worker: string, now: number): void {
    const record = this.recordOf(worker);
    const until = now + REFUSAL_COOLDOWN_MILLIS;
    record.cooldownUntil = Math.max(record.cooldownUntil, until);
    record.longRunningFrom = Math.max(record.longRunningFrom, until);
  }

  forget(worker: string): void {
    this.records.delete(worker);
  }

  private startCooldown(record: Record, now: number): boolean {
    if (now < record.cooldownUntil) return false;
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

/**
 * Runs from before the cooldown say nothing about the worker now, and may go on
 * for hours. A long-running one that is at work has passed its trial.
 */
function countRunsOnTrial(view: WorkerView, {trialSince}: Record): number {
  let count = 0;
  for (const [name, {reference, placedAt = -Infinity}] of view.placed) {
    if (placedAt < trialSince) continue;
    const percent = view.running.get(name)?.percent ?? 0;
    if (reference.step.lasting && percent >= ALL_PERCENT) continue;
    count++;
  }
  return count;
}

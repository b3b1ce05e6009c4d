import {AttemptOutcome} from '../../src/decisions/job_types.js';
import {workOf} from './running_task.js';
import type {RunningTask} from './running_task.js';

/** What one run came to. */
export class BatchMetrics {
  finishedTasks = 0;
  /** Tasks that failed more often than they may. */
  failedTasks = 0;
  /** Processor work of finished attempts, in milliprocessor milliseconds. */
  finishedWork = 0;
  /** Processor work that was done and then thrown away. */
  wastedWork = 0;
  /** JSON bytes of the records that the logs took. */
  logBytes = 0;
  startedAttempts = 0;
  refusedStarts = 0;
  /** Starts of tasks that ran elsewhere at that moment. */
  doubledStarts = 0;
  evictions = 0;
  lostAttempts = 0;
  failedAttempts = 0;
  /** Seconds of VMs, and of those in which the tail was over its target. */
  serviceSeconds = 0;
  lateServiceSeconds = 0;
  /** The tail of each VM's service in each second, in milliseconds. */
  readonly serviceTails: number[] = [];
  readonly normalWaits: number[] = [];
  readonly urgentWaits: number[] = [];
  /** Work done by all tasks up to the end of each second. */
  readonly workBySecond: number[] = [];

  private readonly runningTasks = new Set<string>();

  taskBegins(task: string): void {
    if (this.runningTasks.has(task)) this.doubledStarts++;
    this.runningTasks.add(task);
  }

  taskEnds(task: string): void {
    this.runningTasks.delete(task);
  }

  /** Counts what an attempt that ended came to. */
  attemptEnds(task: RunningTask, outcome: AttemptOutcome): void {
    if (outcome === AttemptOutcome.FINISHED) {
      this.finishedTasks++;
      this.finishedWork +=
        task.totalMillis * task.job.truth.used.milliprocessors;
    } else if (outcome === AttemptOutcome.EVICTED) {
      this.evictions++;
    } else {
      this.wastedWork += workOf(task);
      if (outcome === AttemptOutcome.FAILED) this.failedAttempts++;
    }
  }

  get wastedShare(): number {
    const all = this.finishedWork + this.wastedWork;
    return all === 0 ? 0 : this.wastedWork / all;
  }

  get lateShare(): number {
    return this.lateServiceSeconds / Math.max(1, this.serviceSeconds);
  }

  /** Work done from one second (included) to another (excluded). */
  workBetween(fromSecond: number, toSecond: number): number {
    const at = (second: number) => this.workBySecond[second - 1] ?? 0;
    return at(toSecond) - at(fromSecond);
  }
}

/** The value below which the share of the values lies; 0 without values. */
export function quantile(values: readonly number[], share: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
}

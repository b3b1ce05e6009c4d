import {
  AbsenceReason,
  AbsentTasks,
} from '../../decisions/workflows/absent_tasks.js';
import type {
  AbsentTask,
  AbsentTasksOptions,
} from '../../decisions/workflows/absent_tasks.js';
import type {WorkerCounts} from '../../decisions/workflows/explaining/explanation.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Metrics} from '../../observability/metrics.js';
import type {TaskReference} from '../../decisions/workflows/workflow.js';
import type {Clock} from '../../utilities/clock.js';

/** Starts and moves usually take less. */
const MINIMUM_ABSENCE_MILLIS = 2_000;
/** A task that was reported passes briefly through other reasons. */
const MINIMUM_REASON_MILLIS = 500;
/** A task is not looked at again for this long after an event. */
const MINIMUM_EVENT_INTERVAL_MILLIS = 5_000;
/** Bounds the log lines and the assessments of workers. */
const MAXIMUM_TASKS_PER_CHECK = 5;
const MAXIMUM_TASKS_IN_DUMP = 20;

export interface AbsentTaskReporterOptions extends AbsentTasksOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the numbers of workers by what keeps the task from them. */
  readonly countWorkers: (
    reference: TaskReference,
    now: number,
  ) => WorkerCounts;
  /** Time until the worker's lease counts as expired, if it is known. */
  readonly leaseLeftMillis?: (worker: string) => number;
}

/** What was last found out about a task that was looked at. */
interface LastLook {
  readonly at: number;
  /** Reason and obstacles. */
  readonly finding: string;
}

/** Reports long-running tasks that are not at work, as events and metrics. */
export class AbsentTaskReporter {
  private readonly absentTasks: AbsentTasks;
  private readonly lastLooks = new Map<string, LastLook>();

  constructor(private readonly options: AbsentTaskReporterOptions) {
    this.absentTasks = new AbsentTasks(options);
  }

  /** Logs the tasks of which something new is found, up to a maximum. */
  check(): void {
    const now = this.options.clock.now();
    this.absentTasks.update(now);
    for (const name of this.lastLooks.keys()) {
      if (!this.absentTasks.all.has(name)) this.lastLooks.delete(name);
    }
    const absent = this.absentTasks.absentFor(MINIMUM_ABSENCE_MILLIS, now);
    this.countByReason(absent);
    const due = absent
      .filter(task => this.isDue(task, now))
      .sort((left, right) => this.lookedAt(left) - this.lookedAt(right));
    for (const task of due.slice(0, MAXIMUM_TASKS_PER_CHECK)) {
      this.report(task, now, absent.length);
    }
  }

  /** Returns the tasks that have been absent for longest, for operators. */
  dump(): object[] {
    const now = this.options.clock.now();
    return [...this.absentTasks.all.values()]
      .sort((left, right) => left.since - right.since)
      .slice(0, MAXIMUM_TASKS_IN_DUMP)
      .map(task => ({
        ...this.fieldsOf(task, now),
        workers: this.countWorkers(task, now),
      }));
  }

  close(): void {
    this.countByReason([]);
  }

  /** Obstacles of a task that is not placed may change at any time. */
  private isDue(task: AbsentTask, now: number): boolean {
    const {name, reason, reasonSince} = task;
    const last = this.lastLooks.get(name);
    if (!last) return true;
    if (now - reasonSince < MINIMUM_REASON_MILLIS) return false;
    if (now - last.at < MINIMUM_EVENT_INTERVAL_MILLIS) return false;
    return reason === AbsenceReason.NOT_PLACED || reason !== last.finding;
  }

  private lookedAt({name}: AbsentTask): number {
    return this.lastLooks.get(name)?.at ?? 0;
  }

  private report(task: AbsentTask, now: number, absentTasks: number): void {
    const counts = this.countWorkers(task, now);
    const obstacles = Object.keys(counts ?? {}).sort();
    const workers = obstacles.map(
      obstacle => `${obstacle}=${counts?.[obstacle]}`,
    );
    const finding = [task.reason, ...obstacles].join(' ');
    const isKnown = this.lastLooks.get(task.name)?.finding === finding;
    this.lastLooks.set(task.name, {at: now, finding});
    if (isKnown) return;
    this.options.logger.event(Events.TASK_ABSENT, {
      ...this.fieldsOf(task, now),
      workers: counts && workers.join(' '),
      absentTasks,
    });
  }

  private fieldsOf(
    {name, reason, placement, since, reasonSince}: AbsentTask,
    now: number,
  ): {
    task: string;
    reason: AbsenceReason;
    absentMillis: number;
    reasonMillis: number;
    run?: number;
    worker?: string;
    leaseLeftMillis?: number;
  } {
    const leaseLeftMillis =
      placement && this.options.leaseLeftMillis?.(placement.worker);
    return {
      task: name,
      reason,
      absentMillis: Math.round(now - since),
      reasonMillis: Math.round(now - reasonSince),
      run: placement?.run,
      worker: placement?.worker,
      leaseLeftMillis:
        leaseLeftMillis === undefined ? undefined : Math.round(leaseLeftMillis),
    };
  }

  /** Undefined if the task does not wait for a worker. */
  private countWorkers(
    {reason, reference}: AbsentTask,
    now: number,
  ): WorkerCounts | undefined {
    return reason === AbsenceReason.NOT_PLACED
      ? this.options.countWorkers(reference, now)
      : undefined;
  }

  private countByReason(absent: readonly AbsentTask[]): void {
    for (const reason of Object.values(AbsenceReason)) {
      this.options.metrics
        .gauge(
          'lasting_tasks_absent',
          'Long-running tasks that are not at work, by reason.',
          {reason},
        )
        .set(absent.filter(task => task.reason === reason).length);
    }
  }
}

import {workflowOfTask} from '../../decisions/workflows/task_name.js';
import type {Clock} from '../../utilities/clock.js';

/** Delay before a task is placed again after a worker refused its start. */
const REFUSAL_RETRY_MILLIS = 60;
/** The same if no message can carry its start, which seldom changes. */
const UNSENDABLE_RETRY_MILLIS = 5_000;

const NO_WORKERS: ReadonlySet<string> = new Set();

interface TaskHistory {
  /** Earliest time at which the task may be placed again. */
  notBefore: number;
  isUnsendable: boolean;
  /** Workers on which the task has failed or made no progress. */
  readonly failedOn: Set<string>;
}

/**
 * The history of refused and failed runs for the tasks of open workflows. It is
 * kept in memory only, so a new owner starts without it.
 */
export class RetryHistory {
  private readonly byWorkflow = new Map<string, Map<string, TaskHistory>>();

  constructor(
    private readonly clock: Clock,
    /** Late ends of runs of an ended workflow are not recorded. */
    private readonly isOpen: (workflow: string) => boolean,
  ) {}

  /** Number of workflows that have a history. */
  get size(): number {
    return this.byWorkflow.size;
  }

  mayPlace(task: string): boolean {
    const history = this.find(task);
    return history === undefined || this.clock.now() >= history.notBefore;
  }

  /** Returns the workers on which the task has failed or made no progress. */
  workersThatFailed(task: string): ReadonlySet<string> {
    return this.find(task)?.failedOn ?? NO_WORKERS;
  }

  recordRefusal(task: string): void {
    this.delay(task, REFUSAL_RETRY_MILLIS);
  }

  /** The task is not placed again for this long. */
  delay(task: string, millis: number): void {
    const history = this.findOrCreate(task);
    if (!history) return;
    const until = this.clock.now() + millis;
    history.notBefore = Math.max(history.notBefore, until);
  }

  /** True if no message could carry the last start of the task. */
  isUnsendable(task: string): boolean {
    return this.find(task)?.isUnsendable ?? false;
  }

  recordUnsendable(task: string): void {
    this.delay(task, UNSENDABLE_RETRY_MILLIS);
    const history = this.find(task);
    if (history) history.isUnsendable = true;
  }

  recordFailure(task: string, worker: string): void {
    this.findOrCreate(task)?.failedOn.add(worker);
  }

  forgetWorkflow(id: string): void {
    this.byWorkflow.delete(id);
  }

  private find(task: string): TaskHistory | undefined {
    return this.byWorkflow.get(workflowOfTask(task))?.get(task);
  }

  private findOrCreate(task: string): TaskHistory | undefined {
    const workflow = workflowOfTask(task);
    if (!this.isOpen(workflow)) return undefined;
    const tasks =
      this.byWorkflow.get(workflow) ?? new Map<string, TaskHistory>();
    this.byWorkflow.set(workflow, tasks);
    const history = tasks.get(task) ?? {
      notBefore: -Infinity,
      isUnsendable: false,
      failedOn: new Set<string>(),
    };
    tasks.set(task, history);
    return history;
  }
}

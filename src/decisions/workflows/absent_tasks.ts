import {runKey} from './task_name.js';
import type {Placement} from './task_state.js';
import type {WorkerView} from './worker_view.js';
import {taskNameOf} from './workflow.js';
import type {TaskReference, Workflow} from './workflow.js';

/** Why a long-running task is not at work. */
export const AbsenceReason = {
  /** It is placed on a worker whose agent is not attached. */
  AGENT_DETACHED: 'agent_detached',
  /** The agent is attached, but no worker has reported to it. */
  WORKER_UNREPORTED: 'worker_unreported',
  /** The agent's worker is another incarnation. */
  WORKER_REPLACED: 'worker_replaced',
  /** The last message or response is too old, or there is no run list. */
  WORKER_SILENT: 'worker_silent',
  /** The placement is not stored, so that no start was sent. */
  PLACEMENT_NOT_STORED: 'placement_not_stored',
  /** The worker does not list the run. */
  START_PENDING: 'start_pending',
  /** The run is being stopped. */
  STOP_PENDING: 'stop_pending',
  /** It is not placed, and the owner's lease is not valid. */
  OWNER_INVALID: 'owner_invalid',
  /** It is not placed, as a worker has just refused it. */
  RETRY_DELAY: 'retry_delay',
  /** It is not placed, as no message can carry its start. */
  UNSENDABLE: 'unsendable',
  /** It is not placed on any of the workers. */
  NOT_PLACED: 'not_placed',
} as const;
export type AbsenceReason = (typeof AbsenceReason)[keyof typeof AbsenceReason];

export interface AbsentTasksOptions {
  readonly workflows: () => Iterable<Workflow>;
  /** True if the owner may place tasks. */
  readonly canPlace: () => boolean;
  /** True if no retry delay of an earlier run prevents the placement now. */
  readonly mayPlace: (reference: TaskReference) => boolean;
  /** True if no message could carry the last start of the task. */
  readonly isUnsendable?: (reference: TaskReference) => boolean;
  /** Returns what keeps a worker from listing its runs; else undefined. */
  readonly absenceOf: (
    worker: string,
    now: number,
  ) => AbsenceReason | undefined;
  /** Undefined for a worker that no agent has reported. */
  readonly viewOf: (worker: string) => WorkerView | undefined;
}

/** A long-running task that is not at work. Times are of the owner's clock. */
export interface AbsentTask {
  readonly name: string;
  readonly reference: TaskReference;
  readonly reason: AbsenceReason;
  /** Undefined for a task that is not placed. */
  readonly placement?: Placement;
  /** Time at which the owner first found the task not at work. */
  readonly since: number;
  /** Time at which the owner first found this reason. */
  readonly reasonSince: number;
}

/**
 * Tells which long-running tasks are not at work, why and since when. Tasks of
 * steps that wait for earlier steps are not due yet.
 */
export class AbsentTasks {
  private absent = new Map<string, AbsentTask>();

  constructor(private readonly options: AbsentTasksOptions) {}

  /** By name of the task, as of the last update. */
  get all(): ReadonlyMap<string, AbsentTask> {
    return this.absent;
  }

  /** Returns the tasks that have been absent for at least this long. */
  absentFor(millis: number, now: number): AbsentTask[] {
    return [...this.absent.values()].filter(({since}) => now - since >= millis);
  }

  update(now: number): void {
    const before = this.absent;
    this.absent = new Map();
    for (const workflow of this.options.workflows()) {
      if (!workflow.isOpen) continue;
      for (const reference of lastingTasks(workflow)) {
        const found = this.findAbsence(reference, now);
        if (!found) continue;
        const name = taskNameOf(reference);
        const known = before.get(name);
        const reasonSince =
          known?.reason === found.reason ? known.reasonSince : now;
        const since = known?.since ?? now;
        this.absent.set(name, {name, reference, since, reasonSince, ...found});
      }
    }
  }

  /** Undefined if the task is at work. */
  private findAbsence(
    reference: TaskReference,
    now: number,
  ): Pick<AbsentTask, 'reason' | 'placement'> | undefined {
    let absence: Pick<AbsentTask, 'reason' | 'placement'> | undefined;
    for (const placement of reference.task.placements) {
      const reason = this.reasonOf(reference, placement, now);
      if (!reason) return undefined;
      absence = {reason, placement};
    }
    return absence ?? {reason: this.reasonOfUnplaced(reference)};
  }

  private reasonOf(
    reference: TaskReference,
    {worker, run, stopping}: Placement,
    now: number,
  ): AbsenceReason | undefined {
    const {absenceOf, viewOf} = this.options;
    const ofWorker = absenceOf(worker, now);
    if (ofWorker) return ofWorker;
    if (stopping) return AbsenceReason.STOP_PENDING;
    const view = viewOf(worker);
    const name = runKey(taskNameOf(reference), run);
    if (view?.running.has(name)) return undefined;
    return view?.placed.get(name)?.isDurable
      ? AbsenceReason.START_PENDING
      : AbsenceReason.PLACEMENT_NOT_STORED;
  }

  private reasonOfUnplaced(reference: TaskReference): AbsenceReason {
    const {canPlace, mayPlace, isUnsendable} = this.options;
    if (!canPlace()) return AbsenceReason.OWNER_INVALID;
    if (isUnsendable?.(reference)) return AbsenceReason.UNSENDABLE;
    return mayPlace(reference)
      ? AbsenceReason.NOT_PLACED
      : AbsenceReason.RETRY_DELAY;
  }
}

/** Yields the long-running tasks of steps that are not held back. */
function* lastingTasks(workflow: Workflow): Generator<TaskReference> {
  for (const [step, {lasting}] of workflow.spec.steps.entries()) {
    if (!lasting) continue;
    for (const occurrence of workflow.occurrences.values()) {
      if (!workflow.isStepOpen(occurrence, step)) continue;
      for (const index of occurrence.tasks[step].keys()) {
        yield workflow.reference(occurrence, step, index);
      }
    }
  }
}

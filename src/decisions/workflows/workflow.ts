import {RunOutcome} from '../../backends/leased_worker.js';
import {TaskState} from './task_state.js';
import type {Placement} from './task_state.js';
import {WorkflowState} from './workflow_types.js';
import type {StepSpec, WorkflowSpec} from './workflow_types.js';
import {formatTaskName} from './task_name.js';
import type {TaskName} from './task_name.js';

/** One run of the steps of a workflow. */
export interface Occurrence {
  readonly number: number;
  /** Calendar time of the earliest start, in milliseconds since 1970. */
  readonly dueAtMillis: number;
  /** By step, then by index. */
  readonly tasks: readonly TaskState[][];
}

/** A task with its name, step, occurrence and workflow. */
export interface TaskReference {
  readonly workflow: Workflow;
  readonly occurrence: Occurrence;
  readonly name: TaskName;
  readonly step: StepSpec;
  readonly task: TaskState;
}

/** The end of a run, as reported or as found later. */
export interface RunClosing {
  readonly name: TaskName;
  readonly run: number;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
  /** The first success of a speculative task counts, whichever run it is of. */
  readonly allowsCopies?: boolean;
}

/** The occurrence of a workflow that has no schedule. */
const ONLY_OCCURRENCE = 0;

/**
 * The durable state of a workflow and the rules by which it changes. Time and
 * placement are decided elsewhere.
 */
export class Workflow {
  readonly occurrences = new Map<number, Occurrence>();
  private ended: WorkflowState | undefined;
  private endedAt = 0;

  constructor(readonly spec: WorkflowSpec) {
    if (!spec.schedule) this.openOccurrence(ONLY_OCCURRENCE);
  }

  get id(): string {
    return this.spec.id;
  }

  /** Calendar time of the end, in milliseconds since 1970. */
  get endedAtMillis(): number {
    return this.endedAt;
  }

  get isOpen(): boolean {
    return this.ended === undefined;
  }

  /** True if a run of the workflow may still be active. */
  get hasPlacements(): boolean {
    return this.someTask(task => task.placements.length > 0);
  }

  get state(): WorkflowState {
    if (this.ended !== undefined) return this.ended;
    const hasBegun = this.someTask(task => !task.isUntouched);
    return hasBegun ? WorkflowState.RUNNING : WorkflowState.QUEUED;
  }

  /** Yields every task of every occurrence opened so far. */
  *tasks(): Generator<TaskReference> {
    for (const occurrence of this.occurrences.values()) {
      for (const [step, tasks] of occurrence.tasks.entries()) {
        for (const index of tasks.keys()) {
          yield this.reference(occurrence, step, index);
        }
      }
    }
  }

  find(name: TaskName): TaskReference | undefined {
    const occurrence = this.occurrences.get(name.occurrence);
    if (!occurrence?.tasks[name.step]?.[name.index]) return undefined;
    return this.reference(occurrence, name.step, name.index);
  }

  /** Opens the occurrences due by the calendar time; true if there were any. */
  openDue(nowMillis: number): boolean {
    const {schedule} = this.spec;
    if (!schedule || !this.isOpen) return false;
    let opened = false;
    // Occurrences are opened in order, none is ever removed.
    const first = this.occurrences.size;
    for (let number = first; number < schedule.times; number++) {
      const due = schedule.firstAtMillis + number * schedule.intervalMillis;
      if (due > nowMillis) break;
      this.openOccurrence(number);
      opened = true;
    }
    return opened;
  }

  /** Adds an occurrence with all of its tasks untouched. */
  openOccurrence(number: number): Occurrence {
    const {schedule, steps} = this.spec;
    const occurrence: Occurrence = {
      number,
      dueAtMillis: schedule
        ? schedule.firstAtMillis + number * schedule.intervalMillis
        : this.spec.acceptedAtMillis,
      tasks: steps.map(step =>
        Array.from({length: step.count}, () => new TaskState()),
      ),
    };
    this.occurrences.set(number, occurrence);
    return occurrence;
  }

  /** True if all steps that the step depends on are done. */
  isStepOpen(occurrence: Occurrence, step: number): boolean {
    return this.spec.steps[step].after.every(earlier =>
      occurrence.tasks[earlier].every(task => task.done),
    );
  }

  /** Records the next run of a task on a worker and returns its number. */
  place({task}: TaskReference, worker: string, run = task.lastRun + 1): number {
    task.lastRun = run;
    task.placements.push({run, worker, stopping: false});
    return run;
  }

  /**
   * Applies the end of a run. False if it changes nothing, for example if the
   * run was closed before.
   */
  close(closing: RunClosing, maximumFailures: number, now: number): boolean {
    const found = this.find(closing.name);
    if (!found) return false;
    const {task} = found;
    const placement = task.placementOf(closing.run);
    if (!placement) return this.closeLate(found, closing, now);
    task.close(closing.run);
    if (task.done) return true;
    // Another run of the task may be ahead of the one that has ended.
    const isOnlyRun = task.placements.length === 0;
    if (isOnlyRun && closing.checkpoint !== '') {
      task.checkpoint = closing.checkpoint;
    }
    if (closing.outcome === RunOutcome.DONE) this.finish(found, now);
    if (closing.outcome === RunOutcome.FAILED) {
      this.countFailure(found, maximumFailures, now);
    }
    return true;
  }

  /**
   * Closes a run that is guaranteed not to have started, or whose worker was
   * removed together with its record of the run.
   */
  closeUnfinished(name: TaskName, run: number, checkpoint = ''): boolean {
    const task = this.find(name)?.task;
    if (!task?.placementOf(run)) return false;
    task.close(run);
    if (checkpoint !== '') task.checkpoint = checkpoint;
    return true;
  }

  cancel(now: number): boolean {
    if (!this.isOpen) return false;
    this.end(WorkflowState.CANCELLED, now);
    return true;
  }

  /** Restores the end from a stored record. */
  restoreEnd(state: WorkflowState, endedAtMillis: number): void {
    this.ended = state;
    this.endedAt = endedAtMillis;
  }

  /**
   * Applies the success of a run that was closed as lost, if it is the last run
   * and no other one is placed, or if the task may have several runs.
   */
  private closeLate(
    found: TaskReference,
    closing: RunClosing,
    now: number,
  ): boolean {
    const {task} = found;
    if (task.done || !this.isOpen) return false;
    if (closing.outcome !== RunOutcome.DONE || found.step.gang) return false;
    const isLastRun = closing.run === task.lastRun;
    const {speculative, lasting} = found.step;
    const mayBeCopy = closing.allowsCopies && speculative && !lasting;
    if (mayBeCopy ? closing.run > task.lastRun : !isLastRun) return false;
    if (!mayBeCopy && task.placements.length > 0) return false;
    this.finish(found, now);
    return true;
  }

  private finish(found: TaskReference, now: number): void {
    const {step, occurrence, name} = found;
    if (step.lasting) return;
    const finished = step.gang ? occurrence.tasks[name.step] : [found.task];
    for (const task of finished) {
      task.done = true;
      for (const placement of task.placements) placement.stopping = true;
    }
    if (this.isOpen && this.isComplete()) this.end(WorkflowState.DONE, now);
  }

  private countFailure(
    {task, step}: TaskReference,
    maximumFailures: number,
    now: number,
  ): void {
    task.failures++;
    if (step.lasting || task.failures < maximumFailures) return;
    if (this.isOpen) this.end(WorkflowState.FAILED, now);
  }

  private isComplete(): boolean {
    const {schedule} = this.spec;
    if (schedule && this.occurrences.size < schedule.times) return false;
    return !this.someTask(task => !task.done);
  }

  private end(state: WorkflowState, now: number): void {
    this.ended = state;
    this.endedAt = now;
    for (const {task} of this.tasks()) {
      for (const placement of task.placements) placement.stopping = true;
    }
  }

  private someTask(test: (task: TaskState) => boolean): boolean {
    for (const {tasks} of this.occurrences.values()) {
      for (const ofStep of tasks) {
        if (ofStep.some(test)) return true;
      }
    }
    return false;
  }

  /** Returns a task of an occurrence by its step and its index in the step. */
  reference(
    occurrence: Occurrence,
    step: number,
    index: number,
  ): TaskReference {
    return {
      workflow: this,
      occurrence,
      name: {
        workflow: this.id,
        occurrence: occurrence.number,
        step,
        index,
      },
      step: this.spec.steps[step],
      task: occurrence.tasks[step][index],
    };
  }
}

/** A placement with its task. */
export interface PlacedRun {
  readonly reference: TaskReference;
  readonly placement: Placement;
  /** True if the placement is stored, so that its start may be ordered. */
  isDurable: boolean;
  /**
   * Time of the placement on the owner's clock; undefined for a run that an
   * earlier owner placed.
   */
  placedAt?: number;
  /**
   * Time on the owner's clock of the start command, set once the worker is
   * known to have the run; undefined for a run that an earlier owner started.
   */
  startedAt?: number;
}

/** Returns the name of the task in the form that workers use. */
export function taskNameOf(reference: TaskReference): string {
  return formatTaskName(reference.name);
}

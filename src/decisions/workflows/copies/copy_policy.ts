import type {DurationSource} from '../durations/duration_source.js';
import type {Placement} from '../task_state.js';
import type {WaitingSearch, WaitingStep} from '../waiting_steps.js';
import type {Occurrence, TaskReference, Workflow} from '../workflow.js';
import {compareRanks} from '../workflow_order.js';
import type {QueueTerms} from '../workflow_types.js';

/** A straggler has run for more than this multiple of the median. */
const STRAGGLER_FACTOR = 2;
/** A younger run may end before a copy of it has started. */
const MINIMUM_AGE_MILLIS = 400;
/** Share of a step's tasks that must be done, so that the median is known. */
const DONE_SHARE = 0.5;
/** A failing copy must not end a workflow of which the first run succeeds. */
const MINIMUM_ALLOWED_FAILURES = 2;

/** What the search for stragglers needs to know of runs. */
export interface RunDurations {
  readonly expected: DurationSource;
  /** True if the run is known to end late, however long it has lasted. */
  readonly isSlow: (placement: Placement) => boolean;
  /** Returns how long a run has lasted, in milliseconds. */
  readonly ageMillis: (placement: Placement) => number;
  /** Returns the durations of ended tasks of a step, in milliseconds. */
  readonly endedMillis: (
    occurrence: Occurrence,
    step: number,
  ) => readonly number[];
}

export interface CopySearch extends WaitingSearch {
  readonly durations: RunDurations;
}

/**
 * True if a second run of the task may be started while one is placed. A task
 * that has failed gets none: it may fail again, and that counts as well.
 */
export function allowsCopy(
  {step, task}: TaskReference,
  {maximumFailures}: Pick<QueueTerms, 'maximumFailures'>,
): boolean {
  if (!step.speculative || step.gang || step.lasting) return false;
  return task.failures === 0 && maximumFailures >= MINIMUM_ALLOWED_FAILURES;
}

/**
 * Decides which tasks get a second run.
 *
 * Load pattern: a few tasks in a hundred take seven times as long as the others
 * of their step, which can't end before them. The cause is the worker or chance,
 * so that a second run on another worker ends at the usual time.
 */
export class CopyPolicy {
  constructor(private readonly search: CopySearch) {}

  /** Returns the steps with the tasks to copy, in order of placement. */
  findStragglers(): WaitingStep[] {
    const found: WaitingStep[] = [];
    for (const workflow of this.search.workflows) {
      if (!workflow.isOpen || !hasSpeculativeStep(workflow)) continue;
      const terms = this.search.termsOf(workflow);
      if (!terms) continue;
      for (const occurrence of workflow.occurrences.values()) {
        found.push(...this.stragglersOf(workflow, occurrence, terms));
      }
    }
    return found.sort((left, right) => compareRanks(left.rank, right.rank));
  }

  private stragglersOf(
    workflow: Workflow,
    occurrence: Occurrence,
    terms: QueueTerms,
  ): WaitingStep[] {
    const {order, wallNow} = this.search;
    const found: WaitingStep[] = [];
    for (const [step, {speculative}] of workflow.spec.steps.entries()) {
      if (!speculative) continue;
      const tasks = this.stragglersOfStep(workflow, occurrence, step, terms);
      if (tasks.length === 0) continue;
      const rank = order.rank(workflow, occurrence, terms, wallNow);
      found.push({workflow, occurrence, step, tasks, terms, rank});
    }
    return found;
  }

  private stragglersOfStep(
    workflow: Workflow,
    occurrence: Occurrence,
    step: number,
    terms: QueueTerms,
  ): TaskReference[] {
    const found: TaskReference[] = [];
    const {durations, mayPlace} = this.search;
    let threshold: number | undefined;
    for (const [index, task] of occurrence.tasks[step].entries()) {
      const {done, placements} = task;
      // A run that is being stopped is replaced once it has ended.
      if (done || placements.length !== 1 || placements[0].stopping) continue;
      threshold ??= this.thresholdMillis(workflow, occurrence, step);
      const isLate = durations.ageMillis(placements[0]) > threshold;
      if (!isLate && !durations.isSlow(placements[0])) continue;
      const reference = workflow.reference(occurrence, step, index);
      if (!allowsCopy(reference, terms)) continue;
      if (mayPlace(reference)) found.push(reference);
    }
    return found;
  }

  /** Returns the age from which a run is late; infinite if it is unknown. */
  private thresholdMillis(
    workflow: Workflow,
    occurrence: Occurrence,
    step: number,
  ): number {
    if (!isMostlyDone(occurrence, step)) return Infinity;
    const {expected, endedMillis} = this.search.durations;
    const {medianMillis, highMillis} = expected.estimate(
      workflow,
      occurrence.number,
      step,
    );
    // A new owner knows no durations of tasks that ended before.
    const median = medianOf(endedMillis(occurrence, step)) ?? medianMillis;
    return Math.max(STRAGGLER_FACTOR * median, highMillis, MINIMUM_AGE_MILLIS);
  }
}

function hasSpeculativeStep({spec}: Workflow): boolean {
  return spec.steps.some(({speculative}) => speculative);
}

function isMostlyDone({tasks}: Occurrence, step: number): boolean {
  const doneCount = tasks[step].filter(({done}) => done).length;
  return doneCount >= DONE_SHARE * tasks[step].length;
}

function medianOf(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

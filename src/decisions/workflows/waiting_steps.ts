import type {WorkflowOrder, WorkflowRank} from './workflow_order.js';
import {compareRanks} from './workflow_order.js';
import type {Occurrence, TaskReference, Workflow} from './workflow.js';
import type {QueueTerms} from './workflow_types.js';

/** Tasks of one step that wait for a worker. */
export interface WaitingStep {
  readonly workflow: Workflow;
  readonly occurrence: Occurrence;
  readonly step: number;
  readonly tasks: readonly TaskReference[];
  readonly terms: QueueTerms;
  readonly rank: WorkflowRank;
  /** True if the workflow fails wherever it runs. */
  readonly isAtFault?: boolean;
}

/** Input of the search for waiting tasks. */
export interface WaitingSearch {
  readonly workflows: Iterable<Workflow>;
  readonly order: WorkflowOrder;
  /** Undefined for an unknown queue. */
  readonly termsOf: (workflow: Workflow) => QueueTerms | undefined;
  /** True if no retry delay of an earlier run prevents the placement now. */
  readonly mayPlace: (reference: TaskReference) => boolean;
  /** True if the workflow fails wherever it runs; by default, none does. */
  readonly isAtFault?: (workflow: Workflow) => boolean;
  /** Calendar time in milliseconds. */
  readonly wallNow: number;
}

/** Returns the steps with tasks that may be placed, in order of placement. */
export function findWaitingSteps(search: WaitingSearch): WaitingStep[] {
  const waiting: WaitingStep[] = [];
  for (const workflow of search.workflows) {
    if (!workflow.isOpen) continue;
    const terms = search.termsOf(workflow);
    if (!terms) continue;
    for (const occurrence of workflow.occurrences.values()) {
      waiting.push(...waitingStepsOf(search, workflow, occurrence, terms));
    }
  }
  return waiting.sort(compareSteps);
}

function waitingStepsOf(
  search: WaitingSearch,
  workflow: Workflow,
  occurrence: Occurrence,
  terms: QueueTerms,
): WaitingStep[] {
  const found: WaitingStep[] = [];
  let rank: WorkflowRank | undefined;
  for (const step of workflow.spec.steps.keys()) {
    const states = occurrence.tasks[step];
    if (!states.some(task => !task.done && task.placements.length === 0)) {
      continue;
    }
    if (!workflow.isStepOpen(occurrence, step)) continue;
    const tasks = waitingTasks(search, workflow, occurrence, step);
    if (tasks.length === 0) continue;
    rank ??= search.order.rank(workflow, occurrence, terms, search.wallNow);
    const isAtFault = search.isAtFault?.(workflow);
    found.push({workflow, occurrence, step, tasks, terms, rank, isAtFault});
  }
  return found;
}

function waitingTasks(
  search: WaitingSearch,
  workflow: Workflow,
  occurrence: Occurrence,
  step: number,
): TaskReference[] {
  const tasks: TaskReference[] = [];
  for (const [index, task] of occurrence.tasks[step].entries()) {
    if (task.done || task.placements.length > 0) continue;
    const reference = workflow.reference(occurrence, step, index);
    if (search.mayPlace(reference)) tasks.push(reference);
  }
  return tasks;
}

/**
 * Long-running steps go first, since they are due from acceptance on. Workflows
 * at fault go last, as each worker on trial takes one task.
 */
function compareSteps(left: WaitingStep, right: WaitingStep): number {
  const isLeftLongRunning = left.workflow.spec.steps[left.step].lasting;
  const isRightLongRunning = right.workflow.spec.steps[right.step].lasting;
  if (isLeftLongRunning !== isRightLongRunning)
    return isLeftLongRunning ? -1 : 1;
  return (
    left.rank.priority - right.rank.priority ||
    Number(left.isAtFault ?? false) - Number(right.isAtFault ?? false) ||
    compareRanks(left.rank, right.rank)
  );
}

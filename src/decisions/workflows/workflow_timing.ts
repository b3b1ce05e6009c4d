/** How long workflows take and when they are late. */
import type {QueueConfiguration, StepSpec} from './workflow_types.js';
import type {Occurrence, Workflow} from './workflow.js';

/** A workflow counts for nothing after this many times its objective. */
export const LATEST_OBJECTIVES = 3;

/** The longest chain of steps that are not done, in milliseconds. */
export function remainingChainMillis(
  workflow: Workflow,
  occurrence: Occurrence,
): number {
  return longestChain(workflow.spec.steps, (step, index) => {
    const isDone = occurrence.tasks[index].every(task => task.done);
    return isDone ? 0 : step.estimateMillis;
  });
}

/** The longest chain of all steps, in milliseconds. */
export function wholeChainMillis(workflow: Workflow): number {
  return longestChain(workflow.spec.steps, step => step.estimateMillis);
}

function longestChain(
  steps: readonly StepSpec[],
  millisOf: (step: StepSpec, index: number) => number,
): number {
  const ends: number[] = [];
  for (const [index, step] of steps.entries()) {
    const begin = Math.max(0, ...step.after.map(earlier => ends[earlier]));
    ends.push(begin + millisOf(step, index));
  }
  return Math.max(0, ...ends);
}

/** Time from acceptance within which a workflow is on time. */
export function objectiveMillis(
  workflow: Workflow,
  terms: Pick<QueueConfiguration, 'stretch' | 'latencyTargetMillis'>,
): number {
  return terms.stretch * wholeChainMillis(workflow) + terms.latencyTargetMillis;
}

/** Work of the tasks that are not done, in core-milliseconds. */
export function remainingWork(
  workflow: Workflow,
  occurrence: Occurrence,
): number {
  let sum = 0;
  for (const [index, step] of workflow.spec.steps.entries()) {
    const left = occurrence.tasks[index].filter(task => !task.done).length;
    sum += left * workOfTask(step);
  }
  return sum;
}

/** Work of all tasks, in core-milliseconds. */
export function wholeWork(workflow: Workflow): number {
  let sum = 0;
  for (const step of workflow.spec.steps) sum += step.count * workOfTask(step);
  return sum;
}

function workOfTask(step: StepSpec): number {
  return (step.estimateMillis * step.size.milliprocessors) / 1_000;
}

/** Expected durations of workflows and the times by which they are late. */
import type {QueueConfiguration, StepSpec} from './workflow_types.js';
import type {Occurrence, Workflow} from './workflow.js';

/** A workflow has no value after this multiple of its objective. */
export const NO_VALUE_OBJECTIVE_FACTOR = 3;

/** Returns the longest chain of steps that are not done, in milliseconds. */
export function remainingChainMillis(
  workflow: Workflow,
  occurrence: Occurrence,
): number {
  return longestChain(workflow.spec.steps, (step, index) => {
    const isDone = occurrence.tasks[index].every(task => task.done);
    return isDone ? 0 : step.estimateMillis;
  });
}

/** Returns the longest chain of all steps, in milliseconds. */
export function totalChainMillis(workflow: Pick<Workflow, 'spec'>): number {
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

/** Returns the maximum time from acceptance to an end that is on time. */
export function objectiveMillis(
  workflow: Pick<Workflow, 'spec'>,
  terms: Pick<QueueConfiguration, 'stretch' | 'latencyTargetMillis'>,
): number {
  return terms.stretch * totalChainMillis(workflow) + terms.latencyTargetMillis;
}

/** Returns the work of the tasks that are not done, in core-milliseconds. */
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

/** Returns the work of all tasks, in core-milliseconds. */
export function totalWork(workflow: Pick<Workflow, 'spec'>): number {
  let sum = 0;
  for (const step of workflow.spec.steps) sum += step.count * workOfTask(step);
  return sum;
}

/** Returns the work of one task, in core-milliseconds. */
export function workOfTask(step: StepSpec): number {
  return (step.estimateMillis * step.size.milliprocessors) / 1_000;
}

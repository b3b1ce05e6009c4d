/** Expected durations of workflows and the times by which they are late. */
import type {DurationSource} from './durations/duration_source.js';
import type {QueueConfiguration, StepSpec} from './workflow_types.js';
import type {Occurrence, Workflow} from './workflow.js';

/** A workflow has no value after this multiple of its objective. */
export const NO_VALUE_OBJECTIVE_FACTOR = 3;

/** Returns the longest chain of steps that are not done, in milliseconds. */
export function remainingChainMillis(
  workflow: Workflow,
  occurrence: Occurrence,
  durations: DurationSource,
): number {
  return longestChain(workflow.spec.steps, (_step, index) => {
    const isDone = occurrence.tasks[index].every(task => task.done);
    return isDone ? 0 : expectedMillis(workflow, occurrence, index, durations);
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
  durations: DurationSource,
): number {
  let sum = 0;
  for (const [index, step] of workflow.spec.steps.entries()) {
    const left = occurrence.tasks[index].filter(task => !task.done).length;
    const millis = expectedMillis(workflow, occurrence, index, durations);
    sum += left * workOfTask(step, millis);
  }
  return sum;
}

/** Returns the work of all tasks, in core-milliseconds. */
export function totalWork(workflow: Pick<Workflow, 'spec'>): number {
  let sum = 0;
  for (const step of workflow.spec.steps) {
    sum += step.count * workOfTask(step, step.estimateMillis);
  }
  return sum;
}

/**
 * Returns the median duration of a task of the step. A step without an estimate
 * has no share in the objective; it counts as 0, so that it does not make its
 * workflow late.
 */
function expectedMillis(
  workflow: Workflow,
  {number}: Occurrence,
  step: number,
  durations: DurationSource,
): number {
  const {estimateMillis} = workflow.spec.steps[step];
  if (estimateMillis <= 0) return estimateMillis;
  return durations.estimate(workflow, number, step).medianMillis;
}

/** Returns the work of one task of this duration, in core-milliseconds. */
export function workOfTask({size}: StepSpec, millis: number): number {
  return (millis * size.milliprocessors) / 1_000;
}

import type {StartOrder} from '../../src/decisions/jobs/scheduler_types.js';
import type {Resources} from '../../src/utilities/resources.js';
import type {TracedJob} from './batch_trace.js';

/** Share of its run after which a task reaches its full memory. */
export const MEMORY_GROWTH_SHARE = 0.3;

/** A task on a simulated worker. Times are those of an idle VM. */
export interface RunningTask {
  readonly key: string;
  readonly shard: number;
  readonly order: StartOrder;
  readonly job: TracedJob;
  readonly totalMillis: number;
  readonly resumedMillis: number;
  doneMillis: number;
  stopping: boolean;
}

export function taskOf({order}: RunningTask): string {
  const {team, job, task} = order.name;
  return `${team}/${job}/${task}`;
}

export function usedBy(task: RunningTask): Resources {
  const {used, declared} = task.job.truth;
  const grown = task.doneMillis >= task.totalMillis * MEMORY_GROWTH_SHARE;
  if (grown) return used;
  const memoryMegabytes = Math.min(
    used.memoryMegabytes,
    declared.memoryMegabytes,
  );
  return {...used, memoryMegabytes};
}

export function excess(task: RunningTask): number {
  return usedBy(task).memoryMegabytes - task.order.size.memoryMegabytes;
}

/** Processor work done, in milliprocessor milliseconds. */
export function workOf(task: RunningTask): number {
  return task.doneMillis * task.job.truth.used.milliprocessors;
}

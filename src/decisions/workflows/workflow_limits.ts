import type {StepSpec, WorkflowSchedule} from './workflow_types.js';

/** Leaves a margin below the limit of the platform's store, 1 MiB a value. */
const MAXIMUM_PROGRESS_CHARACTERS = 1_000_000;
/** Characters of the progress of a placed task, but for its checkpoint. */
const PLACED_TASK_CHARACTERS = 24;
const CHECKPOINT_CHARACTERS = 40;
/** Characters of the progress of a task that is done. */
const DONE_TASK_CHARACTERS = 2;

/** A part of a workflow that is beyond what a pool can carry. */
export interface WorkflowExcess {
  readonly part: 'steps' | 'schedule';
  /** Maximum number of tasks, or of occurrences. */
  readonly limit: number;
  readonly count: number;
}

/**
 * The progress of a workflow is one value of the store, which is written
 * whenever one of its tasks changes. One that does not fit could never be stored,
 * and nothing else either, as commits keep their order.
 */
export function findExcess(
  steps: readonly StepSpec[],
  schedule: WorkflowSchedule | undefined,
): WorkflowExcess | undefined {
  const count = steps.reduce((sum, step) => sum + step.count, 0);
  const hasCheckpoints = steps.some(({checkpoints}) => checkpoints);
  const characters =
    PLACED_TASK_CHARACTERS + (hasCheckpoints ? CHECKPOINT_CHARACTERS : 0);
  const limit = Math.floor(MAXIMUM_PROGRESS_CHARACTERS / characters);
  if (count > limit) return {part: 'steps', limit, count};
  if (!schedule) return undefined;
  const left = MAXIMUM_PROGRESS_CHARACTERS - count * characters;
  const ofOccurrence = Math.max(1, count) * DONE_TASK_CHARACTERS;
  const occurrences = Math.max(1, Math.floor(left / ofOccurrence));
  return schedule.times > occurrences
    ? {part: 'schedule', limit: occurrences, count: schedule.times}
    : undefined;
}

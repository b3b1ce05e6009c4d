import type {GuardedTask} from './tail_policy.js';

/** Processor shares that a task may be allocated, in descending order. */
export const SHARE_STEPS: readonly number[] = [1, 0.7, 0.5, 0.35, 0.2, 0.1];

/** Minimum share; a task that needs less should be evicted instead. */
export const MINIMUM_SHARE = SHARE_STEPS[SHARE_STEPS.length - 1];

/** A task with the slowdown that it causes at its full share. */
export interface WeighedTask {
  readonly task: GuardedTask;
  /** Increase of log service time per unit of the VM's load. */
  readonly effect: number;
  /** Increase of log service time by this task at its full share. */
  readonly fullSlowdown: number;
}

/** Tasks that cause less slowdown at their full share aren't throttled. */
const NEGLIGIBLE_SLOWDOWN = 0.02;

/**
 * Allocates shares so that the slowdowns stay within the budget. Tasks for
 * which no budget is left get the minimum share, which may exceed it; tasks
 * with a negligible slowdown get the full share. Tasks with the least effect
 * per processor come first, so that most batch work continues.
 */
export function allocateShares(
  tasks: readonly WeighedTask[],
  budget: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  let left = budget;
  const leastHarmfulFirst = [...tasks].sort(
    (one, other) => one.effect - other.effect,
  );
  for (const {task, fullSlowdown} of leastHarmfulFirst) {
    const share = largestShare(fullSlowdown, left);
    shares.set(task.key, share);
    left = Math.max(0, left - share * fullSlowdown);
  }
  return shares;
}

/** Returns the next larger step, or 1 if there is none. */
export function nextShare(share: number): number {
  for (const step of [...SHARE_STEPS].reverse()) {
    if (step > share + Number.EPSILON) return step;
  }
  return 1;
}

function largestShare(fullSlowdown: number, left: number): number {
  if (fullSlowdown < NEGLIGIBLE_SLOWDOWN) return 1;
  for (const step of SHARE_STEPS) {
    if (step * fullSlowdown <= left) return step;
  }
  return MINIMUM_SHARE;
}

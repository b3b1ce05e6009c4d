import type {GuardedTask} from './tail_policy.js';

/** Shares of its processors that a task may be given, the whole first. */
export const SHARE_STEPS: readonly number[] = [1, 0.7, 0.5, 0.35, 0.2, 0.1];

/** The least share: below it a task had better be evicted. */
export const LEAST_SHARE = SHARE_STEPS[SHARE_STEPS.length - 1];

/** A task with what it adds to the slowdown at its full share. */
export interface WeighedTask {
  readonly task: GuardedTask;
  /** Growth of the logarithm of service times per unit of the VM's load. */
  readonly effect: number;
  /** The same for this task at its full share. */
  readonly fullSlowdown: number;
}

/** A task that adds less at its full share isn't worth throttling. */
const NEGLIGIBLE_SLOWDOWN = 0.02;

/**
 * Gives each task a share so that their slowdowns add up to the budget, besides
 * what the least share of those costs for whom nothing is left. Tasks that cost
 * the service least for their processors come first, so that most batch work
 * goes on.
 */
export function allocateShares(
  tasks: readonly WeighedTask[],
  budget: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  let left = budget;
  const gentlestFirst = [...tasks].sort(
    (one, other) => one.effect - other.effect,
  );
  for (const {task, fullSlowdown} of gentlestFirst) {
    const share = largestShare(fullSlowdown, left);
    shares.set(task.key, share);
    left = Math.max(0, left - share * fullSlowdown);
  }
  return shares;
}

/** The next larger step. */
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
  return LEAST_SHARE;
}

import {GuardActionType} from '../../src/decisions/eviction/tail_policy.js';
import type {
  GuardAction,
  GuardedTask,
  TailPolicy,
} from '../../src/decisions/eviction/tail_policy.js';
import type {FaultTarget} from '../service/fault.js';
import type {BatchTask, BatchWorkload} from './batch_workload.js';
import {NOISY_KIND} from './batch_workload.js';

export const TICK_MILLIS = 100;
const DECISION_MILLIS = 500;

/** A VM holds this many tasks besides its executor. */
const TASKS_PER_VM = 3;
const TASK_MILLIPROCESSORS = 4_000;
const VM_MILLIPROCESSORS = 16_000;

/** Until a task that was evicted runs again, doubled each time. */
const RESUME_MILLIS = 5_000;
const LONGEST_RESUME_MILLIS = 60_000;

interface RunningTask {
  readonly task: BatchTask;
  leftMillis: number;
  evictions: number;
  share: number;
  checkpointedAt: number;
}

interface WaitingTask {
  readonly task: BatchTask;
  readonly leftMillis: number;
  readonly evictions: number;
  readonly readyAt: number;
}

export interface BatchFigures {
  readonly workSeconds: number;
  readonly finished: number;
  readonly noisyFinished: number;
  readonly evictions: number;
}

/**
 * Batch tasks beside the executors of a fleet, each VM under a tail policy of
 * its own. There is always another task to start.
 */
export class BatchFleet {
  private readonly vms: RunningTask[][];
  private waiting: WaitingTask[] = [];
  private workMillis = 0;
  private finished = 0;
  private noisyFinished = 0;
  private evictions = 0;

  constructor(
    private readonly policies: readonly TailPolicy[],
    private readonly workload: BatchWorkload,
    private readonly targetMillis: number,
  ) {
    this.vms = policies.map(() => []);
  }

  figures(): BatchFigures {
    const workSeconds = this.workMillis / 1_000;
    const {finished, noisyFinished, evictions} = this;
    return {workSeconds, finished, noisyFinished, evictions};
  }

  tick(now: number, target: FaultTarget): void {
    for (const [index, tasks] of this.vms.entries()) {
      this.vms[index] = this.progress(tasks);
      if (now % DECISION_MILLIS === 0) this.decide(index, now);
    }
    this.fill(now);
    for (const [index, tasks] of this.vms.entries()) {
      target.setSlowdown(index, slowdownBeside(tasks));
    }
  }

  private progress(tasks: RunningTask[]): RunningTask[] {
    const running: RunningTask[] = [];
    for (const each of tasks) {
      const done = Math.min(each.leftMillis, each.share * TICK_MILLIS);
      each.leftMillis -= done;
      this.workMillis += done;
      if (each.leftMillis > 0) {
        running.push(each);
        continue;
      }
      this.finished += 1;
      if (each.task.kind === NOISY_KIND) this.noisyFinished += 1;
    }
    return running;
  }

  private decide(index: number, now: number): void {
    const tasks = this.vms[index];
    const view = {
      targetMillis: this.targetMillis,
      milliprocessors: VM_MILLIPROCESSORS,
      tasks: tasks.map(each => guarded(each, now)),
    };
    for (const action of this.policies[index].decide(view, now)) {
      this.carryOut(index, action, now);
    }
  }

  private carryOut(index: number, action: GuardAction, now: number): void {
    const tasks = this.vms[index];
    const each = tasks.find(({task}) => task.id === action.key);
    if (!each) return;
    if (action.type === GuardActionType.THROTTLE) {
      each.share = action.share;
      return;
    }
    if (action.type === GuardActionType.CHECKPOINT) {
      each.checkpointedAt = now;
      return;
    }
    this.evictions += 1;
    this.vms[index] = tasks.filter(other => other !== each);
    const {task, leftMillis} = each;
    const evictions = each.evictions + 1;
    const pauseMillis = RESUME_MILLIS * 2 ** each.evictions;
    const readyAt = now + Math.min(pauseMillis, LONGEST_RESUME_MILLIS);
    this.waiting.push({task, leftMillis, evictions, readyAt});
  }

  /** Starts tasks where there is room, on the emptiest VM first. */
  private fill(now: number): void {
    for (;;) {
      let emptiest = this.vms[0];
      for (const tasks of this.vms) {
        if (tasks.length < emptiest.length) emptiest = tasks;
      }
      if (emptiest.length >= TASKS_PER_VM) return;
      emptiest.push(this.nextTask(now));
    }
  }

  private nextTask(now: number): RunningTask {
    const index = this.waiting.findIndex(({readyAt}) => readyAt <= now);
    if (index < 0) {
      const task = this.workload.next(now);
      return newTask({task, leftMillis: task.runMillis, evictions: 0}, now);
    }
    const [resumed] = this.waiting.splice(index, 1);
    return newTask(resumed, now);
  }
}

function newTask(
  {task, leftMillis, evictions}: Omit<WaitingTask, 'readyAt'>,
  now: number,
): RunningTask {
  return {task, leftMillis, evictions, share: 1, checkpointedAt: now};
}

function guarded(each: RunningTask, now: number): GuardedTask {
  return {
    key: each.task.id,
    kind: each.task.kind.name,
    milliprocessors: TASK_MILLIPROCESSORS,
    share: each.share,
    evictable: true,
    urgent: false,
    lostMillis: now - each.checkpointedAt,
  };
}

function slowdownBeside(tasks: readonly RunningTask[]): number {
  let sum = 0;
  for (const {task, share} of tasks) {
    sum +=
      (task.kind.effect * share * TASK_MILLIPROCESSORS) / VM_MILLIPROCESSORS;
  }
  return Math.exp(sum);
}

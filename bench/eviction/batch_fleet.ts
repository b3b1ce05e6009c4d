import {GuardActionType} from '../../src/decisions/eviction/tail_policy.js';
import type {
  GuardAction,
  GuardedTask,
  GuardView,
  TailPolicy,
} from '../../src/decisions/eviction/tail_policy.js';
import {TailBackoff} from '../../src/decisions/recovery/tail_backoff.js';
import type {FaultTarget} from '../service/fault.js';
import type {BatchTask, BatchWorkload} from './batch_workload.js';
import {NOISY_KIND} from './batch_workload.js';

export const TICK_MILLIS = 100;
const DECISION_MILLIS = 500;

/** A VM holds this many tasks besides its executor. */
const TASKS_PER_VM = 3;
const TASK_MILLIPROCESSORS = 4_000;
const VM_MILLIPROCESSORS = 16_000;

/** Starts that the owner tries at a time. */
const STARTS_PER_TICK = 20;

/** One task arrives in this time for each that the fleet holds. */
const ARRIVAL_SPACING_MILLIS = 12_000;

/** Tasks that wait from the beginning, for each that the fleet holds. */
const FIRST_BACKLOG = 1;

interface RunningTask {
  readonly task: BatchTask;
  leftMillis: number;
  share: number;
  checkpointedAt: number;
}

interface WaitingTask {
  readonly task: BatchTask;
  readonly leftMillis: number;
}

export interface BatchFigures {
  readonly workSeconds: number;
  readonly finished: number;
  readonly noisyFinished: number;
  readonly evictions: number;
  /** Starts that agents said no to. */
  readonly refusals: number;
}

/**
 * Batch tasks beside the executors of a fleet, each VM under a tail policy of
 * its own. More tasks arrive than the fleet can run, at times that don't depend
 * on the policy: a queue that is drawn from on demand would hide noisy tasks
 * behind the gentle ones that a cautious policy set aside earlier.
 */
export class BatchFleet {
  private readonly vms: RunningTask[][];
  private readonly backoff = new TailBackoff();
  /** By arrival. */
  private readonly waiting: WaitingTask[] = [];
  private nextArrivalAt = 0;
  private workMillis = 0;
  private finished = 0;
  private noisyFinished = 0;
  private evictions = 0;
  private refusals = 0;

  constructor(
    private readonly policies: readonly TailPolicy[],
    private readonly workload: BatchWorkload,
    private readonly targetMillis: number,
    private readonly backsOff = true,
  ) {
    this.vms = policies.map(() => []);
  }

  figures(): BatchFigures {
    const workSeconds = this.workMillis / 1_000;
    const {finished, noisyFinished, evictions, refusals} = this;
    return {workSeconds, finished, noisyFinished, evictions, refusals};
  }

  tick(now: number, target: FaultTarget): void {
    if (now === 0) this.arrive(FIRST_BACKLOG * TASKS_PER_VM * this.vms.length);
    const spacing = ARRIVAL_SPACING_MILLIS / (this.vms.length * TASKS_PER_VM);
    for (; this.nextArrivalAt <= now; this.nextArrivalAt += spacing) {
      this.arrive(1, now);
    }
    for (const [index, tasks] of this.vms.entries()) {
      this.vms[index] = this.progress(index, tasks);
      if (now % DECISION_MILLIS === 0) this.decide(index, now);
    }
    this.fill(now);
    for (const [index, tasks] of this.vms.entries()) {
      target.setSlowdown(index, slowdownBeside(tasks));
    }
  }

  private progress(index: number, tasks: RunningTask[]): RunningTask[] {
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
      this.backoff.finished(vmName(index), each.task.kind.name);
      if (each.task.kind === NOISY_KIND) this.noisyFinished += 1;
    }
    return running;
  }

  private decide(index: number, now: number): void {
    const view = this.view(index, now);
    for (const action of this.policies[index].decide(view, now)) {
      this.carryOut(index, action, now);
    }
  }

  private view(index: number, now: number): GuardView {
    return {
      targetMillis: this.targetMillis,
      milliprocessors: VM_MILLIPROCESSORS,
      tasks: this.vms[index].map(each => guarded(each, now)),
    };
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
    this.setBack(index, each, now);
    this.wait(each);
  }

  private arrive(count: number, now = 0): void {
    for (let index = 0; index < count; index++) {
      const task = this.workload.next(now);
      this.waiting.push({task, leftMillis: task.runMillis});
    }
  }

  /** Puts a task back in its place by arrival. */
  private wait({task, leftMillis}: WaitingTask): void {
    let index = this.waiting.length;
    while (index > 0 && this.waiting[index - 1].task.sequence > task.sequence) {
      index--;
    }
    this.waiting.splice(index, 0, {task, leftMillis});
  }

  /** Starts tasks where there is room, on the emptiest VM first. */
  private fill(now: number): void {
    for (let started = 0; started < STARTS_PER_TICK; started++) {
      const withRoom = this.vmsWithRoom();
      const next = this.waiting.findIndex(each =>
        withRoom.some(index => this.mayStart(index, each, now)),
      );
      if (next < 0) return;
      const task = newTask(this.waiting.splice(next, 1)[0], now);
      const index = withRoom.find(vm => this.mayStart(vm, task, now));
      if (index !== undefined) this.start(index, task, now);
    }
  }

  private vmsWithRoom(): number[] {
    const indexes = [...this.vms.keys()];
    return indexes
      .filter(index => this.vms[index].length < TASKS_PER_VM)
      .sort((one, other) => this.vms[one].length - this.vms[other].length);
  }

  private mayStart(index: number, {task}: WaitingTask, now: number): boolean {
    const heldBack = this.backoff.vmsFor(task.kind.name);
    return !heldBack?.isHeldBack(vmName(index), now);
  }

  private start(index: number, task: RunningTask, now: number): void {
    this.backoff.placed(vmName(index), task.task.kind.name, now);
    const view = this.view(index, now);
    if (this.policies[index].admits(guarded(task, now), view)) {
      this.vms[index].push(task);
      return;
    }
    this.refusals += 1;
    this.setBack(index, task, now);
    this.wait(task);
  }

  private setBack(index: number, {task}: RunningTask, now: number): void {
    if (!this.backsOff) return;
    this.backoff.recordSetback(vmName(index), task.kind.name, now);
  }
}

function vmName(index: number): string {
  return `vm${index}`;
}

function newTask({task, leftMillis}: WaitingTask, now: number): RunningTask {
  return {task, leftMillis, share: 1, checkpointedAt: now};
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

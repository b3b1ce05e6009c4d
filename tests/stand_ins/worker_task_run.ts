import {WorkerTaskState} from '../../src/backends/worker.js';
import type {WorkerTask, WorkerTaskStart} from '../../src/backends/worker.js';
import type {Clock, Timer} from '../../src/utilities/clock.js';
import {NO_RESOURCES} from '../../src/utilities/resources.js';
import type {Resources} from '../../src/utilities/resources.js';

const DEFAULT_RUN_MILLIS = 100;

/** What a payload tells the stand-in of the task's true nature. */
export interface TaskNature {
  readonly runMillis?: number;
  /** What it really uses; its declared size by default. */
  readonly use?: Resources;
  /** Fails with this reason when its run time is over. */
  readonly fail?: string;
}

export interface WorkerTaskRunOptions {
  readonly start: WorkerTaskStart;
  readonly clock: Clock;
  readonly usageLagMillis: number;
  /** Called when it has run for its whole time. */
  readonly onEnd: (run: WorkerTaskRun) => void;
}

/** One attempt on a worker: its progress at a speed that may change. */
export class WorkerTaskRun {
  readonly start: WorkerTaskStart;
  readonly nature: TaskNature;
  state: WorkerTaskState = WorkerTaskState.RUNNING;
  leaseExpiresAt: number;
  throttleShare = 1;
  private speed = 1;
  private checkpointText: string;
  private doneMillis: number;
  private reason = '';
  private updatedAt: number;
  private endedAt?: number;
  private readonly startedAt: number;
  private end?: Timer;

  constructor(private readonly options: WorkerTaskRunOptions) {
    this.start = options.start;
    this.nature = parseOr<TaskNature>(options.start.payload, {});
    this.leaseExpiresAt = options.start.leaseExpiresAt;
    this.checkpointText = options.start.checkpoint;
    const {doneMillis} = parseOr(options.start.checkpoint, {doneMillis: 0});
    this.doneMillis = doneMillis;
    this.startedAt = options.clock.now();
    this.updatedAt = this.startedAt;
    this.scheduleEnd();
  }

  get running(): boolean {
    return this.state === WorkerTaskState.RUNNING;
  }

  /** Work done until now, in milliseconds at full speed. */
  progressMillis(): number {
    this.advance();
    return this.doneMillis;
  }

  /** From now on it progresses this much slower. */
  slowDown(slowdown: number): void {
    this.advance();
    this.speed = this.throttleShare / slowdown;
    this.scheduleEnd();
  }

  checkpoint(): string {
    const doneMillis = Math.floor(this.progressMillis());
    this.checkpointText = JSON.stringify({doneMillis});
    return this.checkpointText;
  }

  finish(state: WorkerTaskState, reason = ''): void {
    this.advance();
    this.end?.cancel();
    this.state = state;
    this.reason = reason;
    this.endedAt = this.options.clock.now();
  }

  describe(): WorkerTask {
    const {id, kind, size, watcher} = this.start;
    const endedAt = this.endedAt ?? this.options.clock.now();
    const finished = this.state === WorkerTaskState.FINISHED;
    return {
      id,
      kind,
      size,
      watcher,
      state: this.state,
      checkpoint: this.checkpointText,
      result: finished ? `done ${id}` : '',
      reason: this.reason,
      ranMillis: Math.round(endedAt - this.startedAt),
      used: this.reportedUse(),
      throttled: this.throttleShare < 1,
    };
  }

  private reportedUse(): Resources {
    const age = this.options.clock.now() - this.startedAt;
    if (age < this.options.usageLagMillis) return NO_RESOURCES;
    return this.nature.use ?? this.start.size;
  }

  private advance(): void {
    const now = this.options.clock.now();
    if (this.running) this.doneMillis += (now - this.updatedAt) * this.speed;
    this.updatedAt = now;
  }

  private scheduleEnd(): void {
    this.end?.cancel();
    if (this.start.watcher || !this.running || this.speed <= 0) return;
    const runMillis = this.nature.runMillis ?? DEFAULT_RUN_MILLIS;
    const left = Math.max(0, runMillis - this.doneMillis) / this.speed;
    this.end = this.options.clock.schedule(left, () =>
      this.options.onEnd(this),
    );
  }
}

/** Payloads and checkpoints that aren't of this kind are taken as empty. */
function parseOr<Value extends object>(text: string, otherwise: Value): Value {
  try {
    return {...otherwise, ...(JSON.parse(text) as Value)};
  } catch {
    return otherwise;
  }
}

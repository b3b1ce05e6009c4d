import {WorkerTaskState} from '../../src/backends/worker.js';
import type {WorkerTask, WorkerTaskStart} from '../../src/backends/worker.js';
import type {Clock, Timer} from '../../src/utilities/clock.js';
import {NO_RESOURCES} from '../../src/utilities/resources.js';
import type {Resources} from '../../src/utilities/resources.js';

const DEFAULT_RUN_MILLIS = 100;

/** The behavior of a task in the stand-in, given by its payload. */
export interface TaskBehavior {
  readonly runMillis?: number;
  /** Actual resource usage; the declared size by default. */
  readonly use?: Resources;
  /** If set, the task fails with this reason when its run time is over. */
  readonly fail?: string;
}

export interface WorkerTaskRunOptions {
  readonly start: WorkerTaskStart;
  readonly clock: Clock;
  readonly usageLagMillis: number;
  /** Called when the task has run for its whole run time. */
  readonly onEnd: (run: WorkerTaskRun) => void;
}

/** One attempt on a worker, with progress at a variable speed. */
export class WorkerTaskRun {
  readonly start: WorkerTaskStart;
  readonly behavior: TaskBehavior;
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
  private endTimer?: Timer;

  constructor(private readonly options: WorkerTaskRunOptions) {
    this.start = options.start;
    this.behavior = parseOr<TaskBehavior>(options.start.payload, {});
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

  /** Returns the work done so far, in milliseconds at full speed. */
  progressMillis(): number {
    this.updateProgress();
    return this.doneMillis;
  }

  /** Sets the slowdown by interference and applies the throttle share. */
  slowDown(slowdown: number): void {
    this.updateProgress();
    this.speed = this.throttleShare / slowdown;
    this.scheduleEnd();
  }

  checkpoint(): string {
    const doneMillis = Math.floor(this.progressMillis());
    this.checkpointText = JSON.stringify({doneMillis});
    return this.checkpointText;
  }

  finish(state: WorkerTaskState, reason = ''): void {
    this.updateProgress();
    this.endTimer?.cancel();
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
      used: this.reportedUsage(),
      throttled: this.throttleShare < 1,
    };
  }

  private reportedUsage(): Resources {
    const age = this.options.clock.now() - this.startedAt;
    if (age < this.options.usageLagMillis) return NO_RESOURCES;
    return this.behavior.use ?? this.start.size;
  }

  private updateProgress(): void {
    const now = this.options.clock.now();
    if (this.running) this.doneMillis += (now - this.updatedAt) * this.speed;
    this.updatedAt = now;
  }

  private scheduleEnd(): void {
    this.endTimer?.cancel();
    if (this.start.watcher || !this.running || this.speed <= 0) return;
    const runMillis = this.behavior.runMillis ?? DEFAULT_RUN_MILLIS;
    const remainingMillis =
      Math.max(0, runMillis - this.doneMillis) / this.speed;
    this.endTimer = this.options.clock.schedule(remainingMillis, () =>
      this.options.onEnd(this),
    );
  }
}

/** Parses JSON over the defaults; returns these if the text is invalid. */
function parseOr<Value extends object>(text: string, defaults: Value): Value {
  try {
    return {...defaults, ...(JSON.parse(text) as Value)};
  } catch {
    return defaults;
  }
}

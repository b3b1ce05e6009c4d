import {WorkerRefusedError} from '../../src/backends/platform_errors.js';
import {WorkerTaskState} from '../../src/backends/worker.js';
import type {
  Worker,
  WorkerStatus,
  WorkerTask,
  WorkerTaskStart,
} from '../../src/backends/worker.js';
import type {Clock, Timer} from '../../src/utilities/clock.js';
import {
  addResources,
  fitsInto,
  NO_RESOURCES,
} from '../../src/utilities/resources.js';
import type {Resources} from '../../src/utilities/resources.js';
import {InterferenceModel} from './interference.js';
import {WorkerRecordType} from './worker_records.js';
import type {WorkerRecord} from './worker_records.js';
import {WorkerTaskRun} from './worker_task_run.js';

const DEFAULT_USAGE_LAG_MILLIS = 2_000;
const LEASE_CHECK_MILLIS = 50;

export interface WorkerMachineOptions {
  readonly id: string;
  readonly clock: Clock;
  readonly capacity: Resources;
  readonly usageLagMillis?: number;
  readonly interference?: InterferenceModel;
  /** Offset of the worker's own clock from `clock`. */
  readonly clockOffsetMillis?: number;
  readonly onRecord?: (record: WorkerRecord) => void;
}

/**
 * A worker for tests, without transport. It starts every task, even one that
 * exceeds its capacity, and records all starts and ends.
 */
export class WorkerMachine implements Worker {
  /** If true, every task fails as soon as it starts. */
  failsEverything = false;
  readonly records: WorkerRecord[] = [];
  protected readonly runs = new Map<string, WorkerTaskRun>();
  private readonly interference: InterferenceModel;
  private readonly leaseCheck: {timer?: Timer} = {};
  private isClosed = false;

  constructor(private readonly options: WorkerMachineOptions) {
    this.interference = options.interference ?? new InterferenceModel();
    this.record(WorkerRecordType.BOOT);
    this.scheduleLeaseCheck();
  }

  workerTime(): number {
    return this.options.clock.now() + (this.options.clockOffsetMillis ?? 0);
  }

  runningKinds(): string[] {
    return this.running().map(run => run.start.kind);
  }

  runningIds(): string[] {
    return this.running().map(run => run.start.id);
  }

  async status(): Promise<WorkerStatus> {
    return {
      workerTime: this.workerTime(),
      capacity: this.options.capacity,
      tasks: [...this.runs.values()].map(run => run.describe()),
    };
  }

  async start(start: WorkerTaskStart): Promise<void> {
    if (this.runs.has(start.id)) return;
    if (start.leaseExpiresAt <= this.workerTime()) {
      throw new WorkerRefusedError(`the lease of ${start.id} has expired`);
    }
    const run = new WorkerTaskRun({
      start,
      clock: this.options.clock,
      usageLagMillis: this.options.usageLagMillis ?? DEFAULT_USAGE_LAG_MILLIS,
      onEnd: ended => this.complete(ended),
    });
    this.runs.set(start.id, run);
    this.record(WorkerRecordType.START, run);
    if (this.failsEverything) {
      this.end(run, WorkerTaskState.FAILED, 'the worker fails all tasks');
    }
    this.adjustSpeeds();
  }

  async renew(ids: readonly string[], leaseExpiresAt: number): Promise<void> {
    for (const id of ids) {
      const run = this.runs.get(id);
      if (run?.running) run.leaseExpiresAt = leaseExpiresAt;
    }
  }

  async checkpoint(id: string): Promise<string> {
    return this.find(id).checkpoint();
  }

  async throttle(id: string, share: number): Promise<void> {
    this.find(id).throttleShare = share;
    this.adjustSpeeds();
  }

  async stop(
    id: string,
    options: {checkpoint?: boolean} = {},
  ): Promise<WorkerTask> {
    const run = this.find(id);
    if (!run.running) return run.describe();
    if (options.checkpoint) run.checkpoint();
    this.end(run, WorkerTaskState.STOPPED, 'stopped on request');
    this.adjustSpeeds();
    return run.describe();
  }

  async forget(ids: readonly string[]): Promise<void> {
    for (const id of ids) {
      if (!this.runs.get(id)?.running) this.runs.delete(id);
    }
  }

  /** Ends all runs immediately, as in a failure of the VM. */
  close(): void {
    this.isClosed = true;
    this.leaseCheck.timer?.cancel();
    for (const run of this.running()) run.finish(WorkerTaskState.LAPSED);
  }

  protected find(id: string): WorkerTaskRun {
    const run = this.runs.get(id);
    if (run) return run;
    throw new WorkerRefusedError(`no task ${id}`);
  }

  private running(): WorkerTaskRun[] {
    return [...this.runs.values()].filter(run => run.running);
  }

  protected complete(run: WorkerTaskRun): void {
    const {fail} = run.behavior;
    if (fail) this.end(run, WorkerTaskState.FAILED, fail);
    else this.end(run, WorkerTaskState.FINISHED);
    this.adjustSpeeds();
  }

  private end(run: WorkerTaskRun, state: WorkerTaskState, reason = ''): void {
    run.finish(state, reason);
    this.record(END_RECORD_TYPES[state], run);
  }

  private adjustSpeeds(): void {
    const running = this.running();
    for (const run of running) {
      const besideKinds = running
        .filter(other => other !== run)
        .map(other => other.start.kind);
      const {kind} = run.start;
      run.slowDown(this.interference.slowdownOf(kind, besideKinds));
    }
  }

  private scheduleLeaseCheck(): void {
    this.leaseCheck.timer = this.options.clock.schedule(
      LEASE_CHECK_MILLIS,
      () => {
        if (this.isClosed) return;
        this.endExpiredRuns();
        this.scheduleLeaseCheck();
      },
    );
  }

  private endExpiredRuns(): void {
    const now = this.workerTime();
    const expired = this.running().filter(run => run.leaseExpiresAt <= now);
    for (const run of expired) {
      this.end(run, WorkerTaskState.LAPSED, 'its lease expired');
    }
    if (expired.length > 0) this.adjustSpeeds();
  }

  private record(type: WorkerRecordType, run?: WorkerTaskRun): void {
    const record: WorkerRecord = {
      order: this.records.length,
      time: this.options.clock.wallTime(),
      worker: this.options.id,
      type,
      id: run?.start.id ?? '',
      kind: run?.start.kind ?? '',
      watcher: run?.start.watcher ?? false,
      doneMillis: run ? Math.floor(run.progressMillis()) : 0,
      overSize: !fitsInto(this.runningSize(), this.options.capacity),
      size: run?.start.size ?? NO_RESOURCES,
    };
    this.records.push(record);
    this.options.onRecord?.(record);
  }

  private runningSize(): Resources {
    let sum = NO_RESOURCES;
    for (const run of this.running()) sum = addResources(sum, run.start.size);
    return sum;
  }
}

const END_RECORD_TYPES: Readonly<Record<WorkerTaskState, WorkerRecordType>> = {
  [WorkerTaskState.RUNNING]: WorkerRecordType.START,
  [WorkerTaskState.FINISHED]: WorkerRecordType.FINISH,
  [WorkerTaskState.FAILED]: WorkerRecordType.FAIL,
  [WorkerTaskState.STOPPED]: WorkerRecordType.STOP,
  [WorkerTaskState.LAPSED]: WorkerRecordType.LAPSE,
};

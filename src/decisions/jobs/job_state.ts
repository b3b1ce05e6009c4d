import type {Resources} from '../../utilities/resources.js';
import {JobKind, jobKey} from '../job_types.js';
import type {JobSpecification} from '../job_types.js';

/** State of jobs and tasks, derived from the records of the log. */

export const TaskPhase = {
  WAITING: 'waiting',
  /** An attempt was placed and is not known to have ended. */
  OPEN: 'open',
  FINISHED: 'finished',
  FAILED: 'failed',
  /** May have run and is not idempotent; never restarted automatically. */
  HELD: 'held',
  CANCELLED: 'cancelled',
} as const;
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase];

export const JobPhase = {
  WAITING: 'waiting',
  RUNNING: 'running',
  CANCELLING: 'cancelling',
  FINISHED: 'finished',
  FAILED: 'failed',
  HELD: 'held',
  CANCELLED: 'cancelled',
} as const;
export type JobPhase = (typeof JobPhase)[keyof typeof JobPhase];

export interface TaskState {
  phase: TaskPhase;
  /** Attempts placed so far; the last one is open in phase OPEN. */
  attempts: number;
  failures: number;
  checkpoint: string;
  result: string;
  reason: string;
  /** VM on which the last attempt was placed. */
  vm: string;
  /** Incarnation of the agent that may start the last attempt. */
  incarnation: string;
  /** Size reserved by the last attempt; undefined if the declared one. */
  size: Resources | undefined;
}

/** One decision about a job. */
export interface HistoryLine {
  readonly wallTime: number;
  readonly text: string;
}

const MAXIMUM_HISTORY_LINES = 32;

/** A job with its tasks, counted by phase so that queries need no scan. */
export class JobState {
  readonly key: string;
  readonly tasks: TaskState[] = [];
  readonly counts: Record<TaskPhase, number> = {
    waiting: 0,
    open: 0,
    finished: 0,
    failed: 0,
    held: 0,
    cancelled: 0,
  };
  cancelReason: string | undefined;
  confirmedBy: string | undefined;
  /** Calendar time at which the last task ended; 0 until all have ended. */
  closedWallTime = 0;
  history: HistoryLine[] = [];

  constructor(
    readonly specification: JobSpecification,
    /** Order of submission within the shard. */
    readonly sequence: number,
    readonly submittedWallTime: number,
  ) {
    this.key = jobKey(specification.team, specification.name);
    for (let task = 0; task < specification.taskCount; task++) {
      this.tasks.push(newTask());
    }
    this.counts.waiting = specification.taskCount;
  }

  get watcher(): boolean {
    return this.specification.kind === JobKind.WATCHER;
  }

  get cancelled(): boolean {
    return this.cancelReason !== undefined;
  }

  /** True if no task is waiting or open. */
  get closed(): boolean {
    return this.counts.waiting + this.counts.open === 0;
  }

  get phase(): JobPhase {
    if (this.cancelled) {
      return this.closed ? JobPhase.CANCELLED : JobPhase.CANCELLING;
    }
    if (this.counts.open > 0) return JobPhase.RUNNING;
    if (this.counts.waiting > 0) return JobPhase.WAITING;
    if (this.counts.held > 0) return JobPhase.HELD;
    return this.counts.failed > 0 ? JobPhase.FAILED : JobPhase.FINISHED;
  }

  /** Returns the size reserved by the last attempt of the task. */
  reservedSize(task: TaskState): Resources {
    return task.size ?? this.specification.size;
  }

  setPhase(task: TaskState, phase: TaskPhase): void {
    this.counts[task.phase]--;
    task.phase = phase;
    this.counts[phase]++;
  }

  addHistory(wallTime: number, text: string): void {
    this.history.push({wallTime, text});
    if (this.history.length > MAXIMUM_HISTORY_LINES) this.history.splice(1, 1);
  }
}

function newTask(): TaskState {
  return {
    phase: TaskPhase.WAITING,
    attempts: 0,
    failures: 0,
    checkpoint: '',
    result: '',
    reason: '',
    vm: '',
    incarnation: '',
    size: undefined,
  };
}

import type {Resources} from '../utilities/resources.js';

/** The platform's worker on a VM, as its agent sees it. */

export const WorkerTaskState = {
  RUNNING: 'running',
  FINISHED: 'finished',
  FAILED: 'failed',
  /** Stopped on request, with the checkpoint that the state names. */
  STOPPED: 'stopped',
  /** Stopped by the worker because the lease lapsed. */
  LAPSED: 'lapsed',
} as const;
export type WorkerTaskState =
  (typeof WorkerTaskState)[keyof typeof WorkerTaskState];

export interface WorkerTaskStart {
  /** Names the attempt; starting it again changes nothing. */
  readonly id: string;
  readonly kind: string;
  readonly size: Resources;
  readonly payload: string;
  readonly checkpoint: string;
  readonly watcher: boolean;
  /** In the worker's own clock: a start that arrives later is refused. */
  readonly leaseExpiresAt: number;
}

export interface WorkerTask {
  readonly id: string;
  readonly kind: string;
  readonly size: Resources;
  readonly watcher: boolean;
  readonly state: WorkerTaskState;
  /** Progress kept by the last checkpoint; empty while there is none. */
  readonly checkpoint: string;
  readonly result: string;
  readonly reason: string;
  readonly ranMillis: number;
  /** Reported with a lag. */
  readonly used: Resources;
  readonly throttled: boolean;
}

export interface WorkerStatus {
  /** The worker's clock in milliseconds, read while it answered. */
  readonly workerTime: number;
  readonly capacity: Resources;
  readonly tasks: readonly WorkerTask[];
}

/** Calls reject with a WorkerUnavailableError when no answer came in time. */
export interface Worker {
  status(): Promise<WorkerStatus>;
  /** Rejects with a WorkerRefusedError when the worker says no. */
  start(task: WorkerTaskStart): Promise<void>;
  /** Sets when the leases end, in the worker's own clock. */
  renew(ids: readonly string[], leaseExpiresAt: number): Promise<void>;
  /** Takes a checkpoint and resolves to it; the task goes on. */
  checkpoint(id: string): Promise<string>;
  /** Share of its processors that the task may use: 1 is unthrottled. */
  throttle(id: string, share: number): Promise<void>;
  /** Ends the task for good; with `checkpoint` its progress is kept first. */
  stop(id: string, options?: {checkpoint?: boolean}): Promise<WorkerTask>;
  /** Forgets tasks that have ended. */
  forget(ids: readonly string[]): Promise<void>;
  close(reason: string): void;
}

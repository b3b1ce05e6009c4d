import type {Resources} from '../utilities/resources.js';

/** The interface of a worker on a VM, as its agent uses it. */

export const WorkerTaskState = {
  RUNNING: 'running',
  FINISHED: 'finished',
  FAILED: 'failed',
  /** Stopped on request; its checkpoint is in the task. */
  STOPPED: 'stopped',
  /** Stopped by the worker because the lease expired. */
  LAPSED: 'lapsed',
} as const;
export type WorkerTaskState =
  (typeof WorkerTaskState)[keyof typeof WorkerTaskState];

export interface WorkerTaskStart {
  /** Id of the attempt; starting the same id again has no effect. */
  readonly id: string;
  readonly kind: string;
  readonly size: Resources;
  readonly payload: string;
  readonly checkpoint: string;
  readonly watcher: boolean;
  /** Time on the worker's clock; a start that arrives later is refused. */
  readonly leaseExpiresAt: number;
}

export interface WorkerTask {
  readonly id: string;
  readonly kind: string;
  readonly size: Resources;
  readonly watcher: boolean;
  readonly state: WorkerTaskState;
  /** Progress saved by the last checkpoint; empty if there is none. */
  readonly checkpoint: string;
  readonly result: string;
  readonly reason: string;
  readonly ranMillis: number;
  /** Measured usage, reported with a delay. */
  readonly used: Resources;
  readonly throttled: boolean;
}

export interface WorkerStatus {
  /** The worker's clock in milliseconds at the time of the response. */
  readonly workerTime: number;
  readonly capacity: Resources;
  readonly tasks: readonly WorkerTask[];
}

/** Calls reject with a WorkerUnavailableError without a timely response. */
export interface Worker {
  status(): Promise<WorkerStatus>;
  /** Rejects with a WorkerRefusedError if the worker refuses the start. */
  start(task: WorkerTaskStart): Promise<void>;
  /** Sets the end of the leases, on the worker's clock. */
  renew(ids: readonly string[], leaseExpiresAt: number): Promise<void>;
  /** Takes a checkpoint and resolves to it; the task continues. */
  checkpoint(id: string): Promise<string>;
  /** Limits the task to a share of its processors; 1 means unthrottled. */
  throttle(id: string, share: number): Promise<void>;
  /** Ends the task, saving its progress first if `checkpoint` is set. */
  stop(id: string, options?: {checkpoint?: boolean}): Promise<WorkerTask>;
  /** Removes ended tasks from the status. */
  forget(ids: readonly string[]): Promise<void>;
  close(reason: string): void;
}

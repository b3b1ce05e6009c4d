import type {Resources} from '../../src/utilities/resources.js';

export const WorkerRecordType = {
  /** The worker started; no task is running. */
  BOOT: 'boot',
  START: 'start',
  FINISH: 'finish',
  FAIL: 'fail',
  STOP: 'stop',
  LAPSE: 'lapse',
} as const;
export type WorkerRecordType =
  (typeof WorkerRecordType)[keyof typeof WorkerRecordType];

/** A recorded action of a worker, numbered in order. */
export interface WorkerRecord {
  readonly order: number;
  /** Milliseconds since 1970, monotonic within a process. */
  readonly time: number;
  readonly worker: string;
  readonly type: WorkerRecordType;
  /** Id of the attempt; empty when the worker started. */
  readonly id: string;
  readonly kind: string;
  readonly watcher: boolean;
  /** Work done so far, in milliseconds at full speed. */
  readonly doneMillis: number;
  /** True if the sizes of all running tasks together exceed the VM. */
  readonly overSize: boolean;
  readonly size: Resources;
}

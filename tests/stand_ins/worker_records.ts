import type {Resources} from '../../src/utilities/resources.js';

export const WorkerRecordType = {
  /** The worker itself came up; it runs nothing. */
  BOOT: 'boot',
  START: 'start',
  FINISH: 'finish',
  FAIL: 'fail',
  STOP: 'stop',
  LAPSE: 'lapse',
} as const;
export type WorkerRecordType =
  (typeof WorkerRecordType)[keyof typeof WorkerRecordType];

/** What a worker did, in the order in which it did it. */
export interface WorkerRecord {
  readonly order: number;
  /** Milliseconds since 1970, monotonic within a process. */
  readonly time: number;
  readonly worker: string;
  readonly type: WorkerRecordType;
  /** Of the attempt; empty when the worker came up. */
  readonly id: string;
  readonly kind: string;
  readonly watcher: boolean;
  /** Work done by then, in milliseconds at full speed. */
  readonly doneMillis: number;
  /** The sizes of all running tasks, this one included, exceed the VM. */
  readonly overSize: boolean;
  readonly size: Resources;
}

import type {Urgency} from '../settings/settings_types.js';
import type {Resources} from '../utilities/resources.js';

/** Jobs, tasks and attempts as callers submit them and the log records them. */

export const JobKind = {BATCH: 'batch', WATCHER: 'watcher'} as const;
export type JobKind = (typeof JobKind)[keyof typeof JobKind];

export interface JobSpecification {
  readonly team: string;
  /** Unique within the team. */
  readonly name: string;
  readonly kind: JobKind;
  readonly urgency: Urgency;
  /** Groups tasks that behave alike, for learned sizes and interference. */
  readonly taskKind: string;
  readonly size: Resources;
  readonly taskCount: number;
  readonly expectedRunMillis: number;
  readonly payload: string;
  /**
   * If false, a batch task that may have begun is retried only from a
   * checkpoint.
   */
  readonly idempotent: boolean;
  /** Failures of the task itself that are retried before it fails. */
  readonly maximumFailures: number;
}

export const AttemptOutcome = {
  FINISHED: 'finished',
  /** The task itself failed. */
  FAILED: 'failed',
  /** Stopped with a checkpoint; the next attempt resumes from it. */
  EVICTED: 'evicted',
  /** Stopped because its job was cancelled or its watcher closed. */
  CANCELLED: 'cancelled',
  /** Never began. */
  REFUSED: 'refused',
  /** May have begun; guaranteed to have ended, with an unknown result. */
  LOST: 'lost',
} as const;
export type AttemptOutcome =
  (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

export interface AttemptName {
  readonly team: string;
  readonly job: string;
  readonly task: number;
  /** Counts the attempts of the task from 1. */
  readonly attempt: number;
}

export interface AttemptReport {
  readonly name: AttemptName;
  readonly outcome: AttemptOutcome;
  readonly checkpoint: string;
  readonly result: string;
  readonly reason: string;
  readonly resultCode: number;
  readonly ranMillis: number;
  readonly used: Resources;
}

/** Returns the attempt's name as one string, unique in the fleet. */
export function attemptKey(name: AttemptName): string {
  return `${name.team}/${name.job}/${name.task}/${name.attempt}`;
}

/** Returns the job's name as one string, unique in the fleet. */
export function jobKey(team: string, job: string): string {
  return `${team}/${job}`;
}

export const LogRecordType = {
  TAKEN_OVER: 'takenOver',
  SUBMITTED: 'submitted',
  PLACED: 'placed',
  CLOSED: 'closed',
  CANCELLED: 'cancelled',
  CONFIRMED: 'confirmed',
  REMOVED: 'removed',
} as const;

/** One record of a shard's log, which is in the order of the decisions. */
export type LogRecord =
  | {
      readonly type: typeof LogRecordType.TAKEN_OVER;
      readonly entryId: string;
      readonly epoch: number;
      readonly wallTime: number;
    }
  | {
      readonly type: typeof LogRecordType.SUBMITTED;
      readonly specification: JobSpecification;
      readonly wallTime: number;
    }
  | {
      readonly type: typeof LogRecordType.PLACED;
      readonly name: AttemptName;
      readonly vm: string;
      /** Incarnation of the VM's agent that may start the attempt. */
      readonly incarnation: string;
      /** Reserved on the VM; absent when it is the declared size. */
      readonly size?: Resources;
      /** Why this VM was chosen. */
      readonly reason: string;
      readonly wallTime: number;
    }
  | {
      readonly type: typeof LogRecordType.CLOSED;
      readonly name: AttemptName;
      readonly outcome: AttemptOutcome;
      readonly checkpoint: string;
      readonly result: string;
      readonly reason: string;
      readonly resultCode: number;
      readonly wallTime: number;
    }
  | {
      readonly type: typeof LogRecordType.CANCELLED;
      readonly team: string;
      readonly job: string;
      readonly reason: string;
      readonly wallTime: number;
    }
  | {
      readonly type: typeof LogRecordType.CONFIRMED;
      readonly team: string;
      readonly job: string;
      readonly by: string;
      readonly wallTime: number;
    }
  | {
      readonly type: typeof LogRecordType.REMOVED;
      readonly team: string;
      readonly job: string;
      readonly wallTime: number;
    };

import {attemptKey} from '../decisions/job_types.js';
import type {AttemptName, AttemptReport} from '../decisions/job_types.js';
import type {Resources} from '../utilities/resources.js';

export const AttemptPhase = {
  /** The worker was asked to start the task and has not confirmed it yet. */
  STARTING: 'starting',
  RUNNING: 'running',
  /** The worker was asked to stop the task. */
  STOPPING: 'stopping',
  /** Ended, with a report that is not yet in the shard's log. */
  ENDED: 'ended',
} as const;
export type AttemptPhase = (typeof AttemptPhase)[keyof typeof AttemptPhase];

/** Why an attempt is stopped, and how it is reported once it has ended. */
export interface StopIntent {
  readonly outcome: AttemptReport['outcome'];
  readonly resultCode: number;
  readonly reason: string;
  readonly checkpoint: boolean;
}

/** An attempt on this VM. Times are by the agent's clock. */
export interface Attempt {
  readonly key: string;
  /** Id of the task at the worker. */
  readonly taskId: string;
  readonly name: AttemptName;
  readonly shard: number;
  readonly kind: string;
  readonly size: Resources;
  readonly urgent: boolean;
  readonly watcher: boolean;
  readonly evictable: boolean;
  readonly admittedAt: number;
  phase: AttemptPhase;
  /** Latest end of the lease that the worker may have been told. */
  leaseEndsAt: number;
  /** Latest end of the lease that the worker has acknowledged. */
  leaseConfirmedUntil: number;
  /** When a start in flight becomes invalid, by the worker's clock. */
  startValidUntil: number;
  /** When the worker first confirmed or listed the task. */
  seenAt: number | undefined;
  /** True if the worker's last status did not list the task. */
  missing: boolean;
  /** True once the lease has expired; a later lease must not revive it. */
  lapsed: boolean;
  stopIntent: StopIntent | undefined;
  throttledShare: number;
  /** The last checkpoint, and when it was taken. */
  checkpoint: string;
  checkpointedAt: number;
  ranMillis: number;
  used: Resources;
  report: AttemptReport | undefined;
}

/** The attempts of this VM that may still be open in the shards' logs. */
export class AttemptTable {
  private readonly attempts = new Map<string, Attempt>();
  private readonly keysByTaskId = new Map<string, string>();

  get(name: AttemptName): Attempt | undefined {
    return this.attempts.get(attemptKey(name));
  }

  getByKey(key: string): Attempt | undefined {
    return this.attempts.get(key);
  }

  getByTaskId(taskId: string): Attempt | undefined {
    const key = this.keysByTaskId.get(taskId);
    return key === undefined ? undefined : this.attempts.get(key);
  }

  add(attempt: Attempt): void {
    this.attempts.set(attempt.key, attempt);
    this.keysByTaskId.set(attempt.taskId, attempt.key);
  }

  remove(key: string): void {
    const attempt = this.attempts.get(key);
    if (!attempt) return;
    this.attempts.delete(key);
    this.keysByTaskId.delete(attempt.taskId);
  }

  all(): IterableIterator<Attempt> {
    return this.attempts.values();
  }

  /** Returns the attempts that may occupy the worker. */
  live(): Attempt[] {
    const live: Attempt[] = [];
    for (const attempt of this.attempts.values()) {
      if (attempt.phase !== AttemptPhase.ENDED) live.push(attempt);
    }
    return live;
  }

  /** Returns the attempts whose report is not yet in the shard's log. */
  ended(): Attempt[] {
    const ended: Attempt[] = [];
    for (const attempt of this.attempts.values()) {
      if (attempt.phase === AttemptPhase.ENDED) ended.push(attempt);
    }
    return ended;
  }
}

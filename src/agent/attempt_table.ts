import {attemptKey} from '../decisions/job_types.js';
import type {AttemptName, AttemptReport} from '../decisions/job_types.js';
import type {Resources} from '../utilities/resources.js';

export const AttemptPhase = {
  /** The worker was asked to start it and has not answered yes. */
  STARTING: 'starting',
  RUNNING: 'running',
  /** The worker was asked to stop it. */
  STOPPING: 'stopping',
  /** Over, with a report that the shard's log does not hold yet. */
  ENDED: 'ended',
} as const;
export type AttemptPhase = (typeof AttemptPhase)[keyof typeof AttemptPhase];

/** How an attempt is to be reported when it stops on request. */
export interface StopIntent {
  readonly outcome: AttemptReport['outcome'];
  readonly resultCode: number;
  readonly reason: string;
  readonly checkpoint: boolean;
}

/** One attempt on this VM. Times are of the agent's clock. */
export interface Attempt {
  readonly key: string;
  /** The task's id at the worker. */
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
  /** End of the lease that the worker has acknowledged. */
  leaseConfirmedUntil: number;
  /** The worker's clock at which a start that is under way becomes void. */
  startValidUntil: number;
  /** When the worker was first known to have the task. */
  seenAt: number | undefined;
  /** The worker's last answer did not list the task. */
  missing: boolean;
  /** Its lease ended; a later lease must not bring it back. */
  lapsed: boolean;
  stopIntent: StopIntent | undefined;
  throttledShare: number;
  /** Progress that the last checkpoint kept, and when it was taken. */
  checkpoint: string;
  checkpointedAt: number;
  ranMillis: number;
  used: Resources;
  report: AttemptReport | undefined;
}

/** All attempts of this VM that the shards' logs may still count as open. */
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

  /** Attempts that may occupy the worker. */
  live(): Attempt[] {
    const live: Attempt[] = [];
    for (const attempt of this.attempts.values()) {
      if (attempt.phase !== AttemptPhase.ENDED) live.push(attempt);
    }
    return live;
  }

  /** Attempts whose report the shard's log does not hold yet. */
  ended(): Attempt[] {
    const ended: Attempt[] = [];
    for (const attempt of this.attempts.values()) {
      if (attempt.phase === AttemptPhase.ENDED) ended.push(attempt);
    }
    return ended;
  }
}

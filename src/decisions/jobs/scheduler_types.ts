import type {Resources} from '../../utilities/resources.js';
import type {AttemptName, AttemptReport} from '../job_types.js';
import type {HistoryLine, JobPhase, JobState, TaskPhase} from './job_state.js';

/** Inputs and outputs of a shard's scheduler. */

export const SubmitKind = {
  ACCEPTED: 'accepted',
  /** A job with the same specification exists already. */
  SAME: 'same',
  /** A job with the name but another specification exists. */
  CONFLICT: 'conflict',
} as const;
export type SubmitKind = (typeof SubmitKind)[keyof typeof SubmitKind];

export interface SubmitResult {
  readonly kind: SubmitKind;
  /** The accepted job, or the one that already has the name. */
  readonly job: JobState;
}

export const ChangeKind = {
  CHANGED: 'changed',
  /** The job was cancelled or confirmed already. */
  SAME: 'same',
  NOT_FOUND: 'notFound',
  /** The job has ended: nothing is left to cancel. */
  CLOSED: 'closed',
  /** The job has not ended: there is nothing to confirm yet. */
  OPEN: 'open',
} as const;
export type ChangeKind = (typeof ChangeKind)[keyof typeof ChangeKind];

export interface ChangeResult {
  readonly kind: ChangeKind;
  readonly job?: JobState;
}

export interface StartOrder {
  readonly name: AttemptName;
  readonly kind: string;
  readonly size: Resources;
  readonly urgent: boolean;
  readonly payload: string;
  readonly checkpoint: string;
  readonly expectedRunMillis: number;
  readonly watcher: boolean;
  readonly evictable: boolean;
}

export interface StartsForVm {
  readonly vm: string;
  /** Incarnation of the agent to which the starts are addressed. */
  readonly incarnation: string;
  readonly starts: StartOrder[];
}

export interface StartOutcome {
  readonly name: AttemptName;
  readonly accepted: boolean;
  readonly resultCode: number;
  readonly reason: string;
}

export interface StopOrder {
  readonly name: AttemptName;
  readonly checkpoint: boolean;
  readonly reason: string;
}

export interface StopsForVm {
  readonly vm: string;
  readonly stops: StopOrder[];
}

export interface QueriesForVm {
  readonly vm: string;
  readonly names: AttemptName[];
}

/** An agent's response to the query of one attempt. */
export interface QueriedState {
  readonly name: AttemptName;
  readonly running: boolean;
  /** How it ended; undefined while it runs or if the agent doesn't know. */
  readonly report: AttemptReport | undefined;
}

export interface TaskView {
  readonly task: number;
  readonly phase: TaskPhase;
  readonly attempts: number;
  readonly failures: number;
  readonly vm: string;
  readonly result: string;
  readonly reason: string;
}

/** A job as shown to callers and operators. */
export interface JobView {
  readonly team: string;
  readonly name: string;
  readonly kind: string;
  readonly urgency: string;
  readonly phase: JobPhase;
  readonly counts: Readonly<Record<TaskPhase, number>>;
  readonly submittedWallTime: number;
  readonly closedWallTime: number;
  readonly cancelReason: string | undefined;
  readonly confirmedBy: string | undefined;
  readonly tasks: readonly TaskView[];
}

export interface JobExplanation {
  readonly team: string;
  readonly name: string;
  readonly phase: JobPhase;
  /** Explains the job's phase and why its tasks wait. */
  readonly summary: string;
  /** Decisions in order; a long history keeps the first and the latest. */
  readonly history: readonly HistoryLine[];
}

export interface SchedulerCounts {
  readonly jobs: number;
  readonly openAttempts: number;
  readonly waitingTasks: number;
  readonly delayedTasks: number;
  readonly queuedRecords: number;
  readonly vms: number;
}

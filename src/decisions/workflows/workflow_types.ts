/** Workflows: jobs made of steps, as customers submit them. */
import type {Resources} from '../../utilities/resources.js';

/** Tasks that are alike and begin together. */
export interface StepSpec {
  readonly count: number;
  readonly size: Resources;
  /** A rough guess of how long one task works, in milliseconds. */
  readonly estimateMillis: number;
  /** Numbers of earlier steps that have to be done first. */
  readonly after: readonly number[];
  readonly checkpoints: boolean;
  /** The tasks only work together and end together. */
  readonly gang: boolean;
  /** The tasks work faster on a single rack. */
  readonly rackLocal: boolean;
  /** Label that a worker must have; empty if any will do. */
  readonly requiredLabel: string;
  /** Rack on which the tasks work faster; empty if there is none. */
  readonly dataRack: string;
  /** Most tasks of the step on one worker; 0 if there is no limit. */
  readonly spreadLimit: number;
  /** Copies of a task may run at the same time. */
  readonly speculative: boolean;
  /** The tasks run until the workflow is cancelled. */
  readonly lasting: boolean;
  /** Tasks of the same image behave alike; empty if unknown. */
  readonly image: string;
  /** Bound on the tail latency of a task that serves; 0 if it does not. */
  readonly tailTargetMillis: number;
  /** The tasks use the processors that others leave and reserve none. */
  readonly fills: boolean;
  /** How many tasks of a lasting step may be down by the system's own doing. */
  readonly mayMiss: number;
}

/** Runs the steps several times, on a schedule. */
export interface WorkflowSchedule {
  readonly times: number;
  /** Calendar time of the first occurrence, in milliseconds since 1970. */
  readonly firstAtMillis: number;
  readonly intervalMillis: number;
}

/** The terms of a queue that matter once a workflow was accepted. */
export type QueueTerms = Pick<
  QueueConfiguration,
  | 'service'
  | 'priority'
  | 'maximumFailures'
  | 'stretch'
  | 'latencyTargetMillis'
  | 'advice'
>;

export interface WorkflowSpec {
  readonly id: string;
  /** Name of the queue that took it. */
  readonly queue: string;
  /** As they were then, for when operators remove the queue. */
  readonly terms: QueueTerms;
  /** Handed to the workers as it is. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: WorkflowSchedule;
  /** Calendar time of acceptance, in milliseconds since 1970. */
  readonly acceptedAtMillis: number;
}

/** What callers see of a workflow. */
export const WorkflowState = {
  QUEUED: 'queued',
  RUNNING: 'running',
  DONE: 'done',
  FAILED: 'failed',
  CANCELLED: 'cancelled',
} as const;
export type WorkflowState = (typeof WorkflowState)[keyof typeof WorkflowState];

/** A queue that takes workflows. */
export interface QueueConfiguration {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  /** Whose workers run the tasks. */
  readonly service: string;
  /** 0 comes first. */
  readonly priority: number;
  /** Failures of one task after which its workflow has failed. */
  readonly maximumFailures: number;
  /** A workflow is on time within this many times its longest chain of work… */
  readonly stretch: number;
  /** …and this many milliseconds. */
  readonly latencyTargetMillis: number;
  /** Longest time for an answer, in milliseconds. */
  readonly timeoutMillis: number;
  /** Time in milliseconds that advice on workers takes; undefined if none. */
  readonly advice?: QueueAdvice;
}

export interface QueueAdvice {
  readonly decideMillis: number;
  readonly perItemMillis: number;
  readonly validMillis: number;
}

export interface ServiceConfiguration {
  readonly name: string;
  /** The workers refuse by themselves what does not fit. */
  readonly refusesOverload: boolean;
  /** The machines of the pool are off. */
  readonly standby: boolean;
}

/** What operators have set for the whole fleet. */
export interface FleetConfiguration {
  readonly version: number;
  readonly queues: readonly QueueConfiguration[];
  readonly services: readonly ServiceConfiguration[];
  readonly maximumBodyBytes: number;
  readonly maximumHeaderBytes: number;
}

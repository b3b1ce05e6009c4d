/** Workflows: jobs made of steps, as customers submit them. */
import type {Resources} from '../../utilities/resources.js';

/** Identical tasks that become ready together. */
export interface StepSpec {
  readonly count: number;
  readonly size: Resources;
  /** Rough estimate of the duration of one task, in milliseconds. */
  readonly estimateMillis: number;
  /** Indices of earlier steps that have to be done first. */
  readonly after: readonly number[];
  readonly checkpoints: boolean;
  /** The tasks can only work all at once, and finish together. */
  readonly gang: boolean;
  /** The tasks work faster on a single rack. */
  readonly rackLocal: boolean;
  /** Label that a worker must have; empty if any will do. */
  readonly requiredLabel: string;
  /** Rack on which the tasks work faster; empty if there is none. */
  readonly dataRack: string;
  /** Maximum tasks of the step on one worker; 0 if there is no limit. */
  readonly spreadLimit: number;
  /** Copies of a task may run at the same time. */
  readonly speculative: boolean;
  /** The tasks run until the workflow is cancelled. */
  readonly lasting: boolean;
  /** Tasks of the same image behave alike; empty if unknown. */
  readonly image: string;
  /** Target tail latency of a latency-critical task; 0 for other tasks. */
  readonly tailTargetMillis: number;
  /** Best-effort tasks: they use unused processors and reserve none. */
  readonly fills: boolean;
  /** How many tasks of a long-running step the system may itself take down. */
  readonly mayMiss: number;
}

/** Runs the steps several times, on a schedule. */
export interface WorkflowSchedule {
  readonly times: number;
  /** Calendar time of the first occurrence, in milliseconds since 1970. */
  readonly firstAtMillis: number;
  readonly intervalMillis: number;
}

/** Settings of a queue that apply to a workflow after its acceptance. */
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
  /** Name of the queue that accepted the workflow. */
  readonly queue: string;
  /** Copied at acceptance, as operators may remove the queue. */
  readonly terms: QueueTerms;
  /** Passed to the workers unchanged. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: WorkflowSchedule;
  /** Calendar time of acceptance, in milliseconds since 1970. */
  readonly acceptedAtMillis: number;
}

/** The state of a workflow as reported to callers. */
export const WorkflowState = {
  QUEUED: 'queued',
  RUNNING: 'running',
  DONE: 'done',
  FAILED: 'failed',
  CANCELLED: 'cancelled',
} as const;
export type WorkflowState = (typeof WorkflowState)[keyof typeof WorkflowState];

/** A queue that accepts workflows. */
export interface QueueConfiguration {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  /** The service whose workers run the tasks. */
  readonly service: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Failures of one task after which its workflow has failed. */
  readonly maximumFailures: number;
  /**
   * A workflow is on time if it ends within this multiple of its longest chain
   * of steps, plus `latencyTargetMillis`.
   */
  readonly stretch: number;
  readonly latencyTargetMillis: number;
  /** Maximum time for a response, in milliseconds. */
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
  /** The workers themselves refuse tasks that do not fit. */
  readonly refusesOverload: boolean;
  /** The machines of the pool are off. */
  readonly standby: boolean;
}

/** Settings of the operators for the whole fleet. */
export interface FleetConfiguration {
  readonly version: number;
  readonly queues: readonly QueueConfiguration[];
  readonly services: readonly ServiceConfiguration[];
  readonly maximumBodyBytes: number;
  readonly maximumHeaderBytes: number;
}

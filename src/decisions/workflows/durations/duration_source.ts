import type {Workflow} from '../workflow.js';

/** How long one task of a step is expected to run, in milliseconds. */
export interface DurationEstimate {
  readonly medianMillis: number;
  /** Nine tasks of ten end by then. */
  readonly highMillis: number;
}

/** Expected durations of tasks on a worker of usual speed at full pace. */
export interface DurationSource {
  estimate(
    workflow: Workflow,
    occurrence: number,
    step: number,
  ): DurationEstimate;
}

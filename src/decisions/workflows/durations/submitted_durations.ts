import type {Workflow} from '../workflow.js';
import type {DurationEstimate, DurationSource} from './duration_source.js';

/** The callers' own estimates, which may be off by a factor of two. */
export class SubmittedDurations implements DurationSource {
  estimate(
    workflow: Workflow,
    _occurrence: number,
    step: number,
  ): DurationEstimate {
    const {estimateMillis} = workflow.spec.steps[step];
    return {medianMillis: estimateMillis, highMillis: estimateMillis};
  }
}

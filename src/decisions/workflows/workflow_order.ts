import type {DurationSource} from './durations/duration_source.js';
import {SubmittedDurations} from './durations/submitted_durations.js';
import type {Occurrence, Workflow} from './workflow.js';
import type {QueueTerms} from './workflow_types.js';
import {
  NO_VALUE_OBJECTIVE_FACTOR,
  objectiveMillis,
  remainingChainMillis,
  remainingWork,
  totalWork,
} from './workflow_timing.js';

/** The expected outcome of a workflow; lower values go first. */
export const ExpectedOutcome = {
  ON_TIME: 0,
  LATE: 1,
  /** The workflow has no value any more, but still has to be done. */
  NO_VALUE: 2,
} as const;
export type ExpectedOutcome =
  (typeof ExpectedOutcome)[keyof typeof ExpectedOutcome];

/** Value of any workflow, in units of the mean work of its queue. */
const FIXED_VALUE = 0.3;
const VALUE_OF_WORK = 0.7;
/** Weight of a new workflow in the mean work of its queue. */
const MEAN_SMOOTHING = 0.1;

/** The rank of an occurrence in the order of placement. */
export interface WorkflowRank {
  readonly priority: number;
  readonly expectedOutcome: ExpectedOutcome;
  /** Value per unit of remaining work. */
  readonly density: number;
}

/**
 * Orders workflows by their remaining value to callers.
 *
 * Load pattern: during a burst more work arrives than the pool can do. If all
 * workflows share the capacity, all finish late; most callers are served if
 * workflows that can be on time go first, and then those with the most value
 * per unit of remaining work.
 */
export class WorkflowOrder {
  private readonly meanWork = new Map<string, number>();

  constructor(
    /** Of what remains; the objective is known to callers by the estimates. */
    private readonly durations: DurationSource = new SubmittedDurations(),
  ) {}

  /** Includes a new workflow in the mean work of its queue. */
  record(workflow: Workflow): void {
    const {queue} = workflow.spec;
    const work = totalWork(workflow);
    const mean = this.meanWork.get(queue) ?? work;
    this.meanWork.set(queue, mean + MEAN_SMOOTHING * (work - mean));
  }

  /** Returns a copy that includes the workflow; this one does not change. */
  including(workflow: Workflow): WorkflowOrder {
    const copy = new WorkflowOrder(this.durations);
    for (const [queue, mean] of this.meanWork) copy.meanWork.set(queue, mean);
    copy.record(workflow);
    return copy;
  }

  rank(
    workflow: Workflow,
    occurrence: Occurrence,
    terms: QueueTerms,
    wallNow: number,
  ): WorkflowRank {
    const mean = Math.max(1, this.meanWork.get(workflow.spec.queue) ?? 1);
    const total = totalWork(workflow) / mean;
    const work = remainingWork(workflow, occurrence, this.durations);
    const left = Math.max(1, work) / mean;
    return {
      priority: terms.priority,
      expectedOutcome: this.expectedOutcomeOf(
        workflow,
        occurrence,
        terms,
        wallNow,
      ),
      density: (FIXED_VALUE + VALUE_OF_WORK * total) / left,
    };
  }

  private expectedOutcomeOf(
    workflow: Workflow,
    occurrence: Occurrence,
    terms: QueueTerms,
    wallNow: number,
  ): ExpectedOutcome {
    if (workflow.spec.steps.some(step => step.lasting))
      return ExpectedOutcome.ON_TIME;
    const age = wallNow - occurrence.dueAtMillis;
    const end =
      age + remainingChainMillis(workflow, occurrence, this.durations);
    const objective = objectiveMillis(workflow, terms);
    if (end <= objective) return ExpectedOutcome.ON_TIME;
    const isHopeless = end > NO_VALUE_OBJECTIVE_FACTOR * objective;
    return isHopeless ? ExpectedOutcome.NO_VALUE : ExpectedOutcome.LATE;
  }
}

/** Negative if the left one goes first. */
export function compareRanks(left: WorkflowRank, right: WorkflowRank): number {
  return (
    left.priority - right.priority ||
    left.expectedOutcome - right.expectedOutcome ||
    right.density - left.density
  );
}

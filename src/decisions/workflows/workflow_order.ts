import type {Occurrence, Workflow} from './workflow.js';
import type {QueueTerms} from './workflow_types.js';
import {
  LATEST_OBJECTIVES,
  objectiveMillis,
  remainingChainMillis,
  remainingWork,
  wholeWork,
} from './workflow_timing.js';

/** The expected outcome of a workflow; lower values go first. */
export const Prospect = {
  ON_TIME: 0,
  LATE: 1,
  /** The workflow has no value any more, but still has to be done. */
  HOPELESS: 2,
} as const;
export type Prospect = (typeof Prospect)[keyof typeof Prospect];

/** Value of any workflow, in units of the mean work of its queue. */
const FIXED_VALUE = 0.3;
const VALUE_OF_WORK = 0.7;
/** Weight of a new workflow in the mean work of its queue. */
const MEAN_SMOOTHING = 0.1;

/** The rank of an occurrence in the order of placement. */
export interface WorkflowRank {
  readonly priority: number;
  readonly prospect: Prospect;
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

  /** Includes a new workflow in the mean work of its queue. */
  note(workflow: Workflow): void {
    const {queue} = workflow.spec;
    const work = wholeWork(workflow);
    const mean = this.meanWork.get(queue) ?? work;
    this.meanWork.set(queue, mean + MEAN_SMOOTHING * (work - mean));
  }

  rank(
    workflow: Workflow,
    occurrence: Occurrence,
    terms: QueueTerms,
    wallNow: number,
  ): WorkflowRank {
    const mean = Math.max(1, this.meanWork.get(workflow.spec.queue) ?? 1);
    const total = wholeWork(workflow) / mean;
    const left = Math.max(1, remainingWork(workflow, occurrence)) / mean;
    return {
      priority: terms.priority,
      prospect: expectedOutcomeOf(workflow, occurrence, terms, wallNow),
      density: (FIXED_VALUE + VALUE_OF_WORK * total) / left,
    };
  }
}

/** Negative if the left one goes first. */
export function compareRanks(left: WorkflowRank, right: WorkflowRank): number {
  return (
    left.priority - right.priority ||
    left.prospect - right.prospect ||
    right.density - left.density
  );
}

function expectedOutcomeOf(
  workflow: Workflow,
  occurrence: Occurrence,
  terms: QueueTerms,
  wallNow: number,
): Prospect {
  if (workflow.spec.steps.some(step => step.lasting)) return Prospect.ON_TIME;
  const age = wallNow - occurrence.dueAtMillis;
  const end = age + remainingChainMillis(workflow, occurrence);
  const objective = objectiveMillis(workflow, terms);
  if (end <= objective) return Prospect.ON_TIME;
  const isHopeless = end > LATEST_OBJECTIVES * objective;
  return isHopeless ? Prospect.HOPELESS : Prospect.LATE;
}

import type {Occurrence, Workflow} from './workflow.js';
import type {QueueTerms} from './workflow_types.js';
import {
  LATEST_OBJECTIVES,
  objectiveMillis,
  remainingChainMillis,
  remainingWork,
  wholeWork,
} from './workflow_timing.js';

/** What can still come of a workflow; lower ones go first. */
export const Prospect = {
  ON_TIME: 0,
  LATE: 1,
  /** It counts for nothing any more, but has to be done all the same. */
  HOPELESS: 2,
} as const;
export type Prospect = (typeof Prospect)[keyof typeof Prospect];

/** What any workflow is worth, in units of the mean work of its queue. */
const FIXED_WORTH = 0.3;
const WORTH_OF_WORK = 0.7;
/** Weight of a new workflow in the mean work of its queue. */
const MEAN_SMOOTHING = 0.1;

/** The place of an occurrence in the order in which tasks get room. */
export interface WorkflowRank {
  readonly priority: number;
  readonly prospect: Prospect;
  /** Worth for each unit of work that is left. */
  readonly density: number;
}

/**
 * Orders workflows by what their callers still gain.
 *
 * Load pattern: more work comes than the pool can do for as long as a burst
 * lasts. Whoever shares the room among all of it finishes all of it late;
 * finishing what needs least for its worth, and what can be on time first,
 * serves most callers.
 */
export class WorkflowOrder {
  private readonly meanWork = new Map<string, number>();

  /** Takes a new workflow into the mean of its queue. */
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
    const whole = wholeWork(workflow) / mean;
    const left = Math.max(1, remainingWork(workflow, occurrence)) / mean;
    return {
      priority: terms.priority,
      prospect: prospectOf(workflow, occurrence, terms, wallNow),
      density: (FIXED_WORTH + WORTH_OF_WORK * whole) / left,
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

function prospectOf(
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

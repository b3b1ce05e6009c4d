import type {WorkflowSpec} from '../workflow_types.js';
import {
  NO_VALUE_OBJECTIVE_FACTOR,
  objectiveMillis,
  totalChainMillis,
  totalWork,
} from '../workflow_timing.js';

/** What a best-effort workflow asks of the pool. */
export interface AdmissionDemand {
  readonly service: string;
  readonly priority: number;
  /** Work of all tasks, in core-milliseconds. */
  readonly work: number;
  readonly chainMillis: number;
  /** Time from acceptance after which the workflow has no value. */
  readonly valueMillis: number;
}

/**
 * Returns the demand of a workflow that may be refused; undefined for any other,
 * so for urgent, long-running and scheduled ones, and for those without estimates.
 */
export function demandOf(spec: WorkflowSpec): AdmissionDemand | undefined {
  const {steps, schedule, terms} = spec;
  if (schedule || steps.length === 0) return undefined;
  if (!steps.every(step => step.fills && !step.lasting)) return undefined;
  const work = totalWork({spec});
  if (!(work > 0)) return undefined;
  return {
    service: terms.service,
    priority: terms.priority,
    work,
    chainMillis: totalChainMillis({spec}),
    valueMillis: NO_VALUE_OBJECTIVE_FACTOR * objectiveMillis({spec}, terms),
  };
}

import type {StepSpec} from '../../decisions/workflows/workflow_types.js';

/** A workflow that an operator describes and that is not stored. */
export interface ExplainedWorkflow {
  readonly queue: string;
  readonly steps: readonly StepSpec[];
}

export const ExplanationStatus = {
  EXPLAINED: 'explained',
  UNKNOWN_QUEUE: 'unknown queue',
  /** No owner responds. */
  NO_OWNER: 'no owner',
  /** Earlier explanations took the owner's time. */
  BUSY: 'busy',
} as const;
export type ExplanationStatus =
  (typeof ExplanationStatus)[keyof typeof ExplanationStatus];

export interface ExplanationResult {
  readonly status: ExplanationStatus;
  /** The explanation as JSON; empty for another status. */
  readonly explanation: string;
}

/** Returns the result for a status without an explanation. */
export function notExplained(status: ExplanationStatus): ExplanationResult {
  return {status, explanation: ''};
}

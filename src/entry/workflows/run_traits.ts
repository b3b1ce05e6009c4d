import type {StepSpec} from '../../decisions/workflows/workflow_types.js';
import type {RunTraits} from '../../protocol/generated/burdockmoor.js';

const MAXIMUM_UINT32 = 2 ** 32 - 1;

/** Returns the properties that the agent needs of runs of the step. */
export function traitsOf({
  fills,
  tailTargetMillis,
}: StepSpec): Pick<RunTraits, 'fills' | 'tailTargetMillis'> {
  return {fills, tailTargetMillis: wholeTarget(tailTargetMillis)};
}

/** Rounds to the stricter side; 0, for no target, is never the result of it. */
function wholeTarget(millis: number): number {
  if (!(millis > 0)) return 0;
  return Math.min(Math.max(1, Math.floor(millis)), MAXIMUM_UINT32);
}

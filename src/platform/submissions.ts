import {
  array,
  boolean,
  integer,
  maxLength,
  maxValue,
  minLength,
  minValue,
  number,
  object,
  optional,
  pipe,
  safeParse,
  string,
} from 'valibot';
import type {
  StepSpec,
  WorkflowSchedule,
  WorkflowState,
} from '../decisions/workflows/workflow_types.js';
import {parseReceived} from './received_json.js';

/** What a caller hands in; id and queue stand in the path. */
export interface Submission {
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: WorkflowSchedule;
}

const MAXIMUM_TASKS_PER_STEP = 10_000;
/** Bytes of a payload, as the platform's pages say. */
const MAXIMUM_PAYLOAD_BYTES = 4_000;
const WORKFLOW_ID = /^[0-9a-f]{16}$/i;

const count = pipe(number(), integer(), minValue(0));

const stepSchema = object({
  Count: optional(pipe(count, maxValue(MAXIMUM_TASKS_PER_STEP)), 0),
  Cpu: optional(count, 0),
  MemMb: optional(count, 0),
  Gpu: optional(count, 0),
  EstimateMs: optional(number(), 0),
  /** Numbers of the steps before it, counting from 0. */
  After: optional(array(count), []),
  Checkpoints: optional(boolean(), false),
  Gang: optional(boolean(), false),
  RackLocal: optional(boolean(), false),
  /** A label that the worker must have. */
  Requires: optional(string(), ''),
  DataRack: optional(string(), ''),
  /** Most tasks of the step on one worker. */
  AntiAffinity: optional(count, 0),
  Speculative: optional(boolean(), false),
  LongRunning: optional(boolean(), false),
  Image: optional(string(), ''),
  TargetMs: optional(number(), 0),
  Fills: optional(boolean(), false),
  MayMiss: optional(count, 0),
});

const submissionSchema = object({
  Spec: optional(string(), ''),
  Steps: pipe(array(stepSchema), minLength(1), maxLength(1_000)),
  /** How often the steps run; 0 for once and at once. */
  Times: optional(count, 0),
  StartAtMs: optional(number(), 0),
  IntervalMs: optional(number(), 0),
});

export function isWorkflowId(text: string): boolean {
  return WORKFLOW_ID.test(text);
}

/** Undefined when the text is no good submission. */
export function decodeSubmission(text: string): Submission | undefined {
  const parsed = safeParse(submissionSchema, parseReceived(text));
  if (!parsed.success) return undefined;
  const {output: from} = parsed;
  if (Buffer.byteLength(from.Spec) > MAXIMUM_PAYLOAD_BYTES) return undefined;
  const isOrdered = from.Steps.every((step, index) =>
    step.After.every(earlier => earlier < index),
  );
  if (!isOrdered) return undefined;
  return {
    payload: from.Spec,
    steps: from.Steps.map(step => ({
      count: step.Count,
      size: {
        milliprocessors: step.Cpu,
        memoryMegabytes: step.MemMb,
        accelerators: step.Gpu,
      },
      estimateMillis: step.EstimateMs,
      after: step.After,
      checkpoints: step.Checkpoints,
      gang: step.Gang,
      rackLocal: step.RackLocal,
      requiredLabel: step.Requires,
      dataRack: step.DataRack,
      spreadLimit: step.AntiAffinity,
      speculative: step.Speculative,
      lasting: step.LongRunning,
      image: step.Image,
      tailTargetMillis: step.TargetMs,
      fills: step.Fills,
      mayMiss: step.MayMiss,
    })),
    schedule:
      from.Times > 0
        ? {
            times: from.Times,
            firstAtMillis: from.StartAtMs,
            intervalMillis: from.IntervalMs,
          }
        : undefined,
  };
}

/** The body that shows callers the state of a workflow. */
export function encodeState(state: WorkflowState): string {
  return JSON.stringify({State: state});
}

/** The body that shows callers how many workflows wait. */
export function encodeWaiting(count: number): string {
  return JSON.stringify({Waiting: count});
}

import {
  array,
  boolean,
  finite,
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
import type {WorkflowExcess} from '../decisions/workflows/workflow_limits.js';
import {parseJsonOrUndefined} from './json_parsing.js';

/** Workflow that a caller submits; its id and queue are in the path. */
export interface Submission {
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: WorkflowSchedule;
}

const MAXIMUM_TASKS_PER_STEP = 10_000;
/** Limit from the platform's documentation. */
const MAXIMUM_PAYLOAD_BYTES = 4_000;
const WORKFLOW_ID = /^[0-9a-f]{16}$/i;

const countSchema = pipe(number(), integer(), minValue(0));

/** Fractions of a millisecond are kept; 0 stands for no target. */
const targetSchema = pipe(number(), finite(), minValue(0));

const stepSchema = object({
  Count: optional(pipe(countSchema, maxValue(MAXIMUM_TASKS_PER_STEP)), 0),
  Cpu: optional(countSchema, 0),
  MemMb: optional(countSchema, 0),
  Gpu: optional(countSchema, 0),
  EstimateMs: optional(number(), 0),
  /** Indexes of earlier steps that must end first, counting from 0. */
  After: optional(array(countSchema), []),
  Checkpoints: optional(boolean(), false),
  Gang: optional(boolean(), false),
  RackLocal: optional(boolean(), false),
  /** A label that the worker must have. */
  Requires: optional(string(), ''),
  DataRack: optional(string(), ''),
  /** Maximum number of tasks of the step on one worker. */
  AntiAffinity: optional(countSchema, 0),
  Speculative: optional(boolean(), false),
  LongRunning: optional(boolean(), false),
  Image: optional(string(), ''),
  TargetMs: optional(targetSchema, 0),
  Fills: optional(boolean(), false),
  MayMiss: optional(countSchema, 0),
});

const submissionSchema = object({
  Spec: optional(string(), ''),
  Steps: pipe(array(stepSchema), minLength(1), maxLength(1_000)),
  /** Number of times that the steps run; 0 means once, immediately. */
  Times: optional(countSchema, 0),
  StartAtMs: optional(number(), 0),
  IntervalMs: optional(number(), 0),
});

export function isWorkflowId(text: string): boolean {
  return WORKFLOW_ID.test(text);
}

/** Returns undefined if the text is not a valid submission. */
export function decodeSubmission(text: string): Submission | undefined {
  const parsed = safeParse(submissionSchema, parseJsonOrUndefined(text));
  if (!parsed.success) return undefined;
  const {output: body} = parsed;
  if (Buffer.byteLength(body.Spec) > MAXIMUM_PAYLOAD_BYTES) return undefined;
  const isOrdered = body.Steps.every((step, index) =>
    step.After.every(earlier => earlier < index),
  );
  if (!isOrdered) return undefined;
  return {
    payload: body.Spec,
    steps: body.Steps.map(step => ({
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
      body.Times > 0
        ? {
            times: body.Times,
            firstAtMillis: body.StartAtMs,
            intervalMillis: body.IntervalMs,
          }
        : undefined,
  };
}

/** Returns the response body with the state of a workflow. */
export function encodeState(state: WorkflowState): string {
  return JSON.stringify({State: state});
}

/** Returns the response body with the number of waiting workflows. */
export function encodeWaiting(count: number): string {
  return JSON.stringify({Waiting: count});
}

/** Returns the response body for a workflow that is beyond a limit. */
export function encodeExcess({part, limit, count}: WorkflowExcess): string {
  const field = part === 'steps' ? 'Count of all Steps' : 'Times';
  return JSON.stringify({Field: field, Limit: limit, Value: count});
}

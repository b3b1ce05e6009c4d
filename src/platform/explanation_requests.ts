import {
  array,
  boolean,
  getDotPath,
  integer,
  maxLength,
  maxValue,
  minLength,
  minValue,
  number,
  optional,
  pipe,
  safeParse,
  strictObject,
  string,
} from 'valibot';
import type {BaseIssue} from 'valibot';
import type {StepSpec} from '../decisions/workflows/workflow_types.js';
import {parseJsonOrUndefined} from './json_parsing.js';

/** A workflow whose placement is to be explained. */
export interface ExplanationRequest {
  readonly queue: string;
  readonly steps: readonly StepSpec[];
}

/** A field of a request that is not valid. */
export interface InvalidField {
  /** Path such as `steps.0.count`. */
  readonly field: string;
  readonly problem: string;
}

/** Each step is assessed on all workers, on the owner's only core. */
const MAXIMUM_STEPS = 20;
/** The limit for a step that is submitted. */
const MAXIMUM_TASKS = 10_000;
const MAXIMUM_AMOUNT = 1_000_000_000;
const MAXIMUM_NAME_LENGTH = 200;

const amountSchema = pipe(
  number(),
  integer(),
  minValue(0),
  maxValue(MAXIMUM_AMOUNT),
);
const millisSchema = pipe(number(), minValue(0), maxValue(MAXIMUM_AMOUNT));
const nameSchema = pipe(string(), maxLength(MAXIMUM_NAME_LENGTH));
const flagSchema = optional(boolean(), false);

const stepSchema = strictObject({
  count: pipe(number(), integer(), minValue(1), maxValue(MAXIMUM_TASKS)),
  size: strictObject({
    milliprocessors: optional(amountSchema, 0),
    memoryMegabytes: optional(amountSchema, 0),
    accelerators: optional(amountSchema, 0),
  }),
  estimateMillis: optional(millisSchema, 0),
  after: optional(pipe(array(amountSchema), maxLength(MAXIMUM_STEPS)), []),
  checkpoints: flagSchema,
  gang: flagSchema,
  rackLocal: flagSchema,
  requiredLabel: optional(nameSchema, ''),
  dataRack: optional(nameSchema, ''),
  spreadLimit: optional(amountSchema, 0),
  speculative: flagSchema,
  lasting: flagSchema,
  image: optional(nameSchema, ''),
  tailTargetMillis: optional(millisSchema, 0),
  fills: flagSchema,
  mayMiss: optional(amountSchema, 0),
});

const requestSchema = strictObject({
  queue: pipe(nameSchema, minLength(1)),
  steps: pipe(array(stepSchema), minLength(1), maxLength(MAXIMUM_STEPS)),
});

/** Returns the request, or the first field that is not valid. */
export function decodeExplanationRequest(
  text: string,
): ExplanationRequest | InvalidField {
  const parsed = safeParse(requestSchema, parseJsonOrUndefined(text));
  if (!parsed.success) return toInvalidField(parsed.issues[0]);
  const {steps} = parsed.output;
  const tasks = steps.reduce((sum, {count}) => sum + count, 0);
  if (tasks > MAXIMUM_TASKS) {
    const problem = `The steps have more than ${MAXIMUM_TASKS} tasks.`;
    return {field: 'steps', problem};
  }
  const unordered = steps.findIndex((step, index) =>
    step.after.some(earlier => earlier >= index),
  );
  if (unordered < 0) return parsed.output;
  return {
    field: `steps.${unordered}.after`,
    problem: 'A step can only follow steps before it.',
  };
}

function toInvalidField(issue: BaseIssue<unknown>): InvalidField {
  return {field: getDotPath(issue) ?? 'body', problem: `${issue.message}.`};
}

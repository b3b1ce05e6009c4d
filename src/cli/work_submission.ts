import type {ArgsDef} from 'citty';
import {decimalNumber, wholeNumber} from './tool_command.js';

/** Submissions of jobs and watchers from options of the command line. */

const MILLIPROCESSORS_PER_PROCESSOR = 1000;
const MILLIS_PER_SECOND = 1000;

/** Options that describe a task. */
export const SUBMISSION_ARGUMENTS = {
  processors: {
    type: 'string',
    description: 'Processors that a task needs, such as 0.5',
    valueHint: 'number',
  },
  'memory-megabytes': {
    type: 'string',
    description: 'Memory that a task needs',
    valueHint: 'number',
  },
  accelerators: {
    type: 'string',
    description: 'Accelerators that a task needs',
    valueHint: 'number',
  },
  'run-seconds': {
    type: 'string',
    description: 'How long a task is expected to run',
    valueHint: 'seconds',
  },
  urgency: {
    type: 'enum',
    description: "Else the team's default",
    options: ['urgent', 'normal'],
  },
  kind: {
    type: 'string',
    description: 'Names tasks that behave alike',
    valueHint: 'name',
  },
  payload: {
    type: 'string',
    description: 'Text that every task is given',
    valueHint: 'text',
  },
} as const satisfies ArgsDef;

/** Options as they were given. */
export interface SubmissionOptions {
  readonly tasks?: string;
  readonly processors?: string;
  readonly 'memory-megabytes'?: string;
  readonly accelerators?: string;
  readonly 'run-seconds'?: string;
  readonly urgency?: string;
  readonly kind?: string;
  readonly payload?: string;
  readonly 'maximum-failures'?: string;
  readonly idempotent?: boolean;
}

/** The body of a submission; what isn't given is left to the entry. */
export function submissionOf(
  name: string,
  options: SubmissionOptions,
): Readonly<Record<string, unknown>> {
  const processors = decimalNumber('processors', options.processors);
  const runSeconds = decimalNumber('run-seconds', options['run-seconds']);
  const whole = (option: keyof SubmissionOptions): number | undefined =>
    wholeNumber(option, options[option] as string | undefined);
  return {
    name,
    tasks: whole('tasks'),
    milliprocessors: scaled(processors, MILLIPROCESSORS_PER_PROCESSOR),
    memoryMegabytes: whole('memory-megabytes'),
    accelerators: whole('accelerators'),
    expectedRunMillis: scaled(runSeconds, MILLIS_PER_SECOND),
    urgency: options.urgency,
    taskKind: options.kind,
    payload: options.payload,
    maximumFailures: whole('maximum-failures'),
    idempotent: options.idempotent,
  };
}

function scaled(value: number | undefined, by: number): number | undefined {
  return value === undefined ? undefined : Math.round(value * by);
}

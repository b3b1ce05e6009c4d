import type {ArgsDef} from 'citty';
import {parseDecimalNumber, parseWholeNumber} from './tool_command.js';

/** Builds submissions of jobs and watchers from command-line options. */

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
    description: "Urgency; the team's default if not given",
    options: ['urgent', 'normal'],
  },
  kind: {
    type: 'string',
    description: 'Name shared by tasks that behave alike',
    valueHint: 'name',
  },
  payload: {
    type: 'string',
    description: 'Text passed to every task',
    valueHint: 'text',
  },
} as const satisfies ArgsDef;

/** Options as given on the command line. */
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

/** Returns the body of a submission; the entry sets the missing values. */
export function createSubmission(
  name: string,
  options: SubmissionOptions,
): Readonly<Record<string, unknown>> {
  const processors = parseDecimalNumber('processors', options.processors);
  const runSeconds = parseDecimalNumber('run-seconds', options['run-seconds']);
  const parseWhole = (option: keyof SubmissionOptions): number | undefined =>
    parseWholeNumber(option, options[option] as string | undefined);
  return {
    name,
    tasks: parseWhole('tasks'),
    milliprocessors: scale(processors, MILLIPROCESSORS_PER_PROCESSOR),
    memoryMegabytes: parseWhole('memory-megabytes'),
    accelerators: parseWhole('accelerators'),
    expectedRunMillis: scale(runSeconds, MILLIS_PER_SECOND),
    urgency: options.urgency,
    taskKind: options.kind,
    payload: options.payload,
    maximumFailures: parseWhole('maximum-failures'),
    idempotent: options.idempotent,
  };
}

function scale(value: number | undefined, factor: number): number | undefined {
  return value === undefined ? undefined : Math.round(value * factor);
}

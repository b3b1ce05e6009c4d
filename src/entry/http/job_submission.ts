import {JobKind} from '../../decisions/job_types.js';
import type {JobSpecification} from '../../decisions/job_types.js';
import {ResultCodes} from '../../observability/result_codes.js';
import {Urgency} from '../../settings/settings_types.js';
import {apiError} from './api_types.js';

/** Valid names of teams, jobs and services. */
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/;
const MAXIMUM_TASKS = 10_000;
const MAXIMUM_PAYLOAD_CHARACTERS = 16_384;
const MAXIMUM_RUN_MILLIS = 30 * 24 * 3_600_000;
const MAXIMUM_MILLIPROCESSORS = 1_024_000;
const MAXIMUM_MEMORY_MEGABYTES = 16_777_216;
const MAXIMUM_ACCELERATORS = 64;
const MAXIMUM_FAILURES = 100;

const KNOWN_FIELDS: ReadonlySet<string> = new Set([
  'name',
  'urgency',
  'taskKind',
  'tasks',
  'milliprocessors',
  'memoryMegabytes',
  'accelerators',
  'expectedRunMillis',
  'payload',
  'idempotent',
  'maximumFailures',
]);

/** Reads fields of a submission and collects all errors. */
class SubmissionReader {
  readonly errors: string[] = [];

  constructor(private readonly fields: Readonly<Record<string, unknown>>) {
    for (const name of Object.keys(fields)) {
      if (!KNOWN_FIELDS.has(name)) this.errors.push(`${name}: unknown field`);
    }
  }

  /** Reads a name that matches `NAME`. */
  name(field: string, defaultValue?: string): string {
    const value = this.fields[field] ?? defaultValue;
    if (typeof value === 'string' && NAME.test(value)) return value;
    this.errors.push(
      `${field}: 1 to 100 letters, digits, dots, dashes or underscores`,
    );
    return '';
  }

  text(field: string, maximumCharacters: number): string {
    const value = this.fields[field] ?? '';
    if (typeof value === 'string' && value.length <= maximumCharacters) {
      return value;
    }
    this.errors.push(
      `${field}: text of at most ${maximumCharacters} characters`,
    );
    return '';
  }

  /** Reads a whole number within the bounds, both inclusive. */
  integer(
    field: string,
    minimum: number,
    maximum: number,
    defaultValue: number,
  ): number {
    const value = this.fields[field] ?? defaultValue;
    const isValid =
      typeof value === 'number' &&
      Number.isInteger(value) &&
      value >= minimum &&
      value <= maximum;
    if (isValid) return value;
    this.errors.push(`${field}: a whole number from ${minimum} to ${maximum}`);
    return defaultValue;
  }

  flag(field: string, defaultValue: boolean): boolean {
    const value = this.fields[field] ?? defaultValue;
    if (typeof value === 'boolean') return value;
    this.errors.push(`${field}: true or false`);
    return defaultValue;
  }

  urgency(defaultValue: Urgency): Urgency {
    const value = this.fields['urgency'] ?? defaultValue;
    if (value === Urgency.URGENT || value === Urgency.NORMAL) return value;
    this.errors.push('urgency: urgent or normal');
    return defaultValue;
  }
}

/**
 * Reads the body of a submission.
 *
 * @throws ApiError that lists all errors.
 */
export function readSubmission(
  body: Uint8Array,
  options: {team: string; kind: JobKind; defaultUrgency: Urgency},
): JobSpecification {
  const {team, kind, defaultUrgency} = options;
  const reader = new SubmissionReader(readJsonObject(body));
  const isWatcher = kind === JobKind.WATCHER;
  const name = reader.name('name');
  const specification: JobSpecification = {
    team,
    name,
    kind,
    urgency: reader.urgency(defaultUrgency),
    taskKind: reader.name('taskKind', isWatcher ? 'watcher' : 'batch'),
    size: {
      milliprocessors: reader.integer(
        'milliprocessors',
        1,
        MAXIMUM_MILLIPROCESSORS,
        1_000,
      ),
      memoryMegabytes: reader.integer(
        'memoryMegabytes',
        1,
        MAXIMUM_MEMORY_MEGABYTES,
        256,
      ),
      accelerators: reader.integer('accelerators', 0, MAXIMUM_ACCELERATORS, 0),
    },
    taskCount: reader.integer('tasks', 1, isWatcher ? 1 : MAXIMUM_TASKS, 1),
    expectedRunMillis: reader.integer(
      'expectedRunMillis',
      0,
      MAXIMUM_RUN_MILLIS,
      0,
    ),
    payload: reader.text('payload', MAXIMUM_PAYLOAD_CHARACTERS),
    idempotent: reader.flag('idempotent', true),
    maximumFailures: reader.integer('maximumFailures', 0, MAXIMUM_FAILURES, 3),
  };
  if (reader.errors.length > 0) {
    throw apiError(
      ResultCodes.BAD_REQUEST,
      `The submission is not valid: ${reader.errors.join('; ')}.`,
      {details: {faults: reader.errors}},
    );
  }
  return specification;
}

/** @throws ApiError unless the body is a JSON object; an empty one means {}. */
export function readJsonObject(
  body: Uint8Array,
): Readonly<Record<string, unknown>> {
  const text = Buffer.from(body).toString('utf8');
  if (text.trim() === '') return {};
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw apiError(ResultCodes.BAD_REQUEST, 'The body is not JSON.');
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw apiError(ResultCodes.BAD_REQUEST, 'The body is not a JSON object.');
  }
  return value as Readonly<Record<string, unknown>>;
}

/** @throws ApiError unless the value is a valid team, job or service name. */
export function checkName(subject: string, value: string): string {
  if (NAME.test(value)) return value;
  throw apiError(
    ResultCodes.BAD_REQUEST,
    `${subject} must be 1 to 100 letters, digits, dots, dashes or underscores.`,
  );
}

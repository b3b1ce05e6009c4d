import {ResultCodes} from '../observability/result_codes.js';

/** Exit code of the tool; a test compares the codes with docs/CLI.md. */
export interface ExitCode {
  readonly status: number;
  readonly meaning: string;
}

function createExitCode(status: number, meaning: string): ExitCode {
  return {status, meaning};
}

export const ExitCodes = {
  DONE: createExitCode(0, 'Done.'),
  FAULT: createExitCode(1, 'Unexpected error in the tool or in an entry.'),
  USAGE: createExitCode(2, 'The command line is invalid; nothing was sent.'),
  NOT_FOUND: createExitCode(3, 'Nothing with this name exists.'),
  CONFLICT: createExitCode(
    4,
    'Another change came first, or the state of the job no longer allows it.',
  ),
  REJECTED: createExitCode(
    5,
    'The text or the request is invalid; all errors are listed.',
  ),
  UNREACHABLE: createExitCode(
    6,
    'No entry could be reached; nothing was done.',
  ),
  NOT_DONE: createExitCode(7, 'Not done or not run; it may be retried.'),
  UNKNOWN: createExitCode(8, 'It is unknown whether the request took effect.'),
  LAGGING: createExitCode(
    9,
    'Accepted, but not in force everywhere, or not ended, within the timeout.',
  ),
  UNSUCCESSFUL: createExitCode(
    10,
    'The job ended unsuccessfully or is held, or the service returned an error.',
  ),
} as const;

const EXIT_CODES_BY_RESULT_CODE: ReadonlyMap<number, ExitCode> = new Map([
  [ResultCodes.BAD_REQUEST.number, ExitCodes.REJECTED],
  [ResultCodes.NOT_FOUND.number, ExitCodes.NOT_FOUND],
  [ResultCodes.BODY_TOO_LARGE.number, ExitCodes.REJECTED],
  [ResultCodes.CALL_TOO_SLOW.number, ExitCodes.NOT_DONE],
  [ResultCodes.ENTRY_STOPPING.number, ExitCodes.NOT_DONE],
  [ResultCodes.METHOD_NOT_ALLOWED.number, ExitCodes.REJECTED],
  [ResultCodes.SETTINGS_INVALID.number, ExitCodes.REJECTED],
  [ResultCodes.SETTINGS_CONFLICT.number, ExitCodes.CONFLICT],
  [ResultCodes.OUTCOME_UNKNOWN.number, ExitCodes.UNKNOWN],
  [ResultCodes.STORE_OUTCOME_UNKNOWN.number, ExitCodes.UNKNOWN],
  [ResultCodes.INTERNAL.number, ExitCodes.FAULT],
  [ResultCodes.PROCESS_UNREACHABLE.number, ExitCodes.NOT_DONE],
  [ResultCodes.POOL_WITHOUT_OWNER.number, ExitCodes.NOT_DONE],
  [ResultCodes.OWNER_BUSY.number, ExitCodes.NOT_DONE],
]);

const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;
const HTTP_TOO_MANY_REQUESTS = 429;

/** Returns the exit code for a result code and the status of its response. */
export function exitCodeOf(resultCode: number, httpStatus: number): ExitCode {
  const known = EXIT_CODES_BY_RESULT_CODE.get(resultCode);
  if (known) return known;
  if (isServiceRejection(resultCode)) return ExitCodes.NOT_DONE;
  if (httpStatus === HTTP_CONFLICT) return ExitCodes.CONFLICT;
  if (httpStatus === HTTP_UNAVAILABLE) return ExitCodes.NOT_DONE;
  if (httpStatus === HTTP_TOO_MANY_REQUESTS) return ExitCodes.NOT_DONE;
  return ExitCodes.FAULT;
}

/**
 * True for codes from 200 to 299: they mean "not run", except for unknown
 * outcomes, which are looked up before.
 */
function isServiceRejection(resultCode: number): boolean {
  return resultCode >= 200 && resultCode < 300;
}

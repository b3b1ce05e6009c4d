import {ResultCodes} from '../observability/result_codes.js';

/** How the tool ends; docs/CLI.md lists the same and a test compares both. */
export interface ExitCode {
  readonly status: number;
  readonly meaning: string;
}

function exitCode(status: number, meaning: string): ExitCode {
  return {status, meaning};
}

export const ExitCodes = {
  DONE: exitCode(0, 'Done.'),
  FAULT: exitCode(1, 'An unexpected fault of the tool or of an entry.'),
  USAGE: exitCode(2, 'The command line is wrong; nothing was sent.'),
  NOT_FOUND: exitCode(3, 'Nothing has this name.'),
  CONFLICT: exitCode(
    4,
    'Someone else was first, or the job does not allow it any more.',
  ),
  REJECTED: exitCode(5, 'The text or the call has faults; all are listed.'),
  UNREACHABLE: exitCode(6, 'No entry could be reached; nothing was done.'),
  NOT_DONE: exitCode(7, 'Not done or not run; it may be tried again.'),
  UNKNOWN: exitCode(8, 'It is not known whether it was done.'),
  LAGGING: exitCode(
    9,
    'Accepted, but not everywhere in force, or not ended, in the time to wait.',
  ),
  UNSUCCESSFUL: exitCode(
    10,
    'The job ended without success, or the service answered with an error.',
  ),
} as const;

const BY_RESULT_CODE: ReadonlyMap<number, ExitCode> = new Map([
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
]);

const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;
const HTTP_TOO_MANY_REQUESTS = 429;

/** What the tool ends with after an answer with a result code. */
export function exitCodeOf(resultCode: number, httpStatus: number): ExitCode {
  const known = BY_RESULT_CODE.get(resultCode);
  if (known) return known;
  if (isServiceRefusal(resultCode)) return ExitCodes.NOT_DONE;
  if (httpStatus === HTTP_CONFLICT) return ExitCodes.CONFLICT;
  if (httpStatus === HTTP_UNAVAILABLE) return ExitCodes.NOT_DONE;
  if (httpStatus === HTTP_TOO_MANY_REQUESTS) return ExitCodes.NOT_DONE;
  return ExitCodes.FAULT;
}

/** Codes from 200 to 299 but for unknown outcomes say "not run". */
function isServiceRefusal(resultCode: number): boolean {
  return resultCode >= 200 && resultCode < 300;
}

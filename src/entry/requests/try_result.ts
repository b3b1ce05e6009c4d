import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import type {ServeReply} from '../../protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../../protocol/links.js';
import type {CallerRequest} from './caller_request.js';

/** A try that brought the whole answer. */
export interface AnsweredTry {
  readonly outcome: typeof ServeOutcome.ANSWERED;
  readonly reply: ServeReply;
}

/** A try that brought no answer, and why. */
export interface FailedTry {
  readonly outcome: typeof ServeOutcome.NOT_RUN | typeof ServeOutcome.UNKNOWN;
  readonly code: ResultCode;
  readonly reason: string;
  /** When another try may do better; 0 while nothing is known of that. */
  readonly retryAfterMillis: number;
  /** What the agent said, if it said anything. */
  readonly reply?: ServeReply;
}

/** What one try on one agent came to. */
export type TryResult = AnsweredTry | FailedTry;

/** A try that has certainly not run. */
export function notRun(
  code: ResultCode,
  reason: string,
  retryAfterMillis: number,
): FailedTry {
  return {outcome: ServeOutcome.NOT_RUN, code, reason, retryAfterMillis};
}

/** A try that may have run. */
export function unknown(reason: string): FailedTry {
  return {
    outcome: ServeOutcome.UNKNOWN,
    code: ResultCodes.OUTCOME_UNKNOWN,
    reason,
    retryAfterMillis: 0,
  };
}

/** Accepts an answer only when it belongs to the request. */
export function readReply(
  request: CallerRequest,
  reply: ServeReply,
): TryResult {
  if (reply.requestId !== request.requestId) {
    return unknown(`the answer belongs to request ${reply.requestId}`);
  }
  const {outcome, reason, retryAfterMillis} = reply;
  if (outcome === ServeOutcome.ANSWERED) return {outcome, reply};
  if (outcome !== ServeOutcome.NOT_RUN) return {...unknown(reason), reply};
  const code = codeOf(reply.resultCode) ?? ResultCodes.NO_UPSTREAM;
  return {outcome, code, reason, retryAfterMillis, reply};
}

function codeOf(number: number): ResultCode | undefined {
  for (const code of Object.values(ResultCodes)) {
    if (code.number === number) return code;
  }
  return undefined;
}

import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import type {ServeReply} from '../../protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../../protocol/links.js';
import type {CallerRequest} from './caller_request.js';

/** A request attempt that got a complete response. */
export interface AnsweredRequestAttempt {
  readonly outcome: typeof ServeOutcome.ANSWERED;
  readonly reply: ServeReply;
}

/** A request attempt that got no complete response, and the reason. */
export interface FailedRequestAttempt {
  readonly outcome: typeof ServeOutcome.NOT_RUN | typeof ServeOutcome.UNKNOWN;
  readonly code: ResultCode;
  readonly reason: string;
  /** Suggested delay before a retry; 0 if unknown. */
  readonly retryAfterMillis: number;
  /** The agent's reply, if there was one. */
  readonly reply?: ServeReply;
}

/** The result of one request attempt on one agent. */
export type RequestAttemptResult =
  AnsweredRequestAttempt | FailedRequestAttempt;

/** Returns the result of a request attempt that is known not to have run. */
export function notRunResult(
  code: ResultCode,
  reason: string,
  retryAfterMillis: number,
): FailedRequestAttempt {
  return {outcome: ServeOutcome.NOT_RUN, code, reason, retryAfterMillis};
}

/** Returns the result of a request attempt that may have run. */
export function unknownResult(reason: string): FailedRequestAttempt {
  return {
    outcome: ServeOutcome.UNKNOWN,
    code: ResultCodes.OUTCOME_UNKNOWN,
    reason,
    retryAfterMillis: 0,
  };
}

/** Converts a reply; one to another request gives an unknown outcome. */
export function readReply(
  request: CallerRequest,
  reply: ServeReply,
): RequestAttemptResult {
  if (reply.requestId !== request.requestId) {
    return unknownResult(`the reply belongs to request ${reply.requestId}`);
  }
  const {outcome, reason, retryAfterMillis} = reply;
  if (outcome === ServeOutcome.ANSWERED) return {outcome, reply};
  if (outcome !== ServeOutcome.NOT_RUN)
    return {...unknownResult(reason), reply};
  const code = resultCodeOf(reply.resultCode) ?? ResultCodes.NO_UPSTREAM;
  return {outcome, code, reason, retryAfterMillis, reply};
}

function resultCodeOf(number: number): ResultCode | undefined {
  for (const code of Object.values(ResultCodes)) {
    if (code.number === number) return code;
  }
  return undefined;
}

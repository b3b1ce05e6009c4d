import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import type {ServeReply} from '../../protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../../protocol/links.js';
import type {CallerRequest} from './caller_request.js';

/** What one try on one agent came to. */
export interface TryResult {
  readonly outcome: ServeOutcome;
  readonly code: ResultCode;
  readonly reason: string;
  readonly retryAfterMillis: number;
  readonly reply?: ServeReply;
}

/** A try that has certainly not run; `retryAfterMillis` of 0 says nothing. */
export function notRun(
  code: ResultCode,
  reason: string,
  retryAfterMillis: number,
): TryResult {
  return {outcome: ServeOutcome.NOT_RUN, code, reason, retryAfterMillis};
}

/** A try that may have run. */
export function unknown(reason: string): TryResult {
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
  if (outcome === ServeOutcome.ANSWERED) {
    const code = ResultCodes.INTERNAL;
    return {outcome, code, reason, retryAfterMillis, reply};
  }
  if (outcome !== ServeOutcome.NOT_RUN) {
    return {...unknown(reason), reply};
  }
  const code = codeOf(reply.resultCode) ?? ResultCodes.NO_UPSTREAM;
  return {outcome, code, reason, retryAfterMillis, reply};
}

function codeOf(number: number): ResultCode | undefined {
  for (const code of Object.values(ResultCodes)) {
    if (code.number === number) return code;
  }
  return undefined;
}

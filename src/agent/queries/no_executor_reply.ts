import {ResultCodes} from '../../observability/result_codes.js';
import type {
  ServeReply,
  ServeRequest,
} from '../../protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../../protocol/links.js';

/** Returns the reply of an agent without an executor. */
export function noExecutorReply(request: ServeRequest): ServeReply {
  return {
    requestId: request.requestId,
    outcome: ServeOutcome.NOT_RUN,
    resultCode: ResultCodes.NO_UPSTREAM.number,
    status: 0,
    headers: [],
    body: Buffer.alloc(0),
    retryAfterMillis: 0,
    reason: 'there is no executor beside this agent',
    executor: undefined,
  };
}

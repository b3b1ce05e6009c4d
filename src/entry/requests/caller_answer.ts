import {ServeOutcome} from '../../protocol/links.js';
import {failureAnswer} from '../http/api_types.js';
import type {ApiAnswer} from '../http/api_types.js';
import type {CallerRequest} from './caller_request.js';
import {HOP_HEADERS} from './hop_headers.js';
import type {TryResult} from './try_result.js';

const DEFAULT_RETRY_AFTER_MILLIS = 500;

/** The final answer of the API to a request that came to this result. */
export function toAnswer(request: CallerRequest, result: TryResult): ApiAnswer {
  const idHeader = ['x-request-id', request.requestId] as const;
  const {reply, outcome, code, reason} = result;
  if (outcome === ServeOutcome.ANSWERED && reply) {
    const headers = reply.headers
      .filter(header => !HOP_HEADERS.has(header.name.toLowerCase()))
      .map(header => [header.name, header.value] as const);
    return {
      status: reply.status,
      headers: [...headers, idHeader, ['x-outcome', outcome]],
      body: reply.body,
    };
  }
  const retryAfterMillis =
    outcome === ServeOutcome.NOT_RUN
      ? result.retryAfterMillis || DEFAULT_RETRY_AFTER_MILLIS
      : undefined;
  const answer = failureAnswer(code, `${code.meaning} (${reason})`, {
    details: {outcome, requestId: request.requestId},
    retryAfterMillis,
  });
  return {
    ...answer,
    headers: [...answer.headers, idHeader, ['x-outcome', outcome]],
  };
}

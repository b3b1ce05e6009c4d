import type {ServeReply} from '../../protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../../protocol/links.js';
import {failureAnswer} from '../http/api_types.js';
import type {ApiAnswer} from '../http/api_types.js';
import type {CallerRequest} from './caller_request.js';
import {HOP_HEADERS} from './hop_headers.js';
import type {FailedTry, TryResult} from './try_result.js';

const DEFAULT_RETRY_AFTER_MILLIS = 500;

/** Returns the API response to a service request with the result. */
export function toAnswer(request: CallerRequest, result: TryResult): ApiAnswer {
  const response =
    result.outcome === ServeOutcome.ANSWERED
      ? forwardedResponse(result.reply)
      : failureResponse(request, result);
  const {headers} = response;
  return {
    ...response,
    headers: [
      ...headers,
      ['x-request-id', request.requestId],
      ['x-outcome', result.outcome],
    ],
  };
}

function forwardedResponse(reply: ServeReply): ApiAnswer {
  const headers = reply.headers
    .filter(header => !HOP_HEADERS.has(header.name.toLowerCase()))
    .map(header => [header.name, header.value] as const);
  return {status: reply.status, headers, body: reply.body};
}

/** Sets a retry delay only for a request that did not run. */
function failureResponse(request: CallerRequest, result: FailedTry): ApiAnswer {
  const {outcome, code, reason} = result;
  const retryAfterMillis =
    outcome === ServeOutcome.NOT_RUN
      ? result.retryAfterMillis || DEFAULT_RETRY_AFTER_MILLIS
      : undefined;
  return failureAnswer(code, `${code.meaning} (${reason})`, {
    details: {outcome, requestId: request.requestId},
    retryAfterMillis,
  });
}

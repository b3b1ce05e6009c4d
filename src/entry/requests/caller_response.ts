import type {ServeReply} from '../../protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../../protocol/links.js';
import {errorResponse} from '../http/api_types.js';
import type {ApiResponse} from '../http/api_types.js';
import type {CallerRequest} from './caller_request.js';
import {UNFORWARDED_HEADERS} from './unforwarded_headers.js';
import type {
  FailedRequestAttempt,
  RequestAttemptResult,
} from './request_attempt_result.js';

const DEFAULT_RETRY_AFTER_MILLIS = 500;

/** Returns the API response to a service request with the result. */
export function toApiResponse(
  request: CallerRequest,
  result: RequestAttemptResult,
): ApiResponse {
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

function forwardedResponse(reply: ServeReply): ApiResponse {
  const headers = reply.headers
    .filter(header => !UNFORWARDED_HEADERS.has(header.name.toLowerCase()))
    .map(header => [header.name, header.value] as const);
  return {status: reply.status, headers, body: reply.body};
}

/** Sets a retry delay only for a request that did not run. */
function failureResponse(
  request: CallerRequest,
  result: FailedRequestAttempt,
): ApiResponse {
  const {outcome, code, reason} = result;
  const retryAfterMillis =
    outcome === ServeOutcome.NOT_RUN
      ? result.retryAfterMillis || DEFAULT_RETRY_AFTER_MILLIS
      : undefined;
  return errorResponse(code, `${code.meaning} (${reason})`, {
    details: {outcome, requestId: request.requestId},
    retryAfterMillis,
  });
}

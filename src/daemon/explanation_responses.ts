import {errorResponse} from '../entry/http/api_types.js';
import type {ApiResponse} from '../entry/http/api_types.js';
import {ExplanationStatus} from '../entry/workflows/explanation_result.js';
import type {PoolEntry} from '../entry/workflows/pool_entry.js';
import {ResultCodes} from '../observability/result_codes.js';
import {decodeExplanationRequest} from '../platform/explanation_requests.js';

/** By then, most explanations no longer count. */
const BUSY_RETRY_MILLIS = 1_000;

/** Responds to `POST /placement/explain` with the body. */
export async function answerExplanation(
  entry: Pick<PoolEntry, 'explain'>,
  body: string,
): Promise<ApiResponse> {
  const request = decodeExplanationRequest(body);
  if ('field' in request) return invalidField(request.field, request.problem);
  const {status, explanation} = await entry.explain(request);
  switch (status) {
    case ExplanationStatus.EXPLAINED:
      return {
        status: 200,
        headers: [['content-type', 'application/json']],
        body: Buffer.from(explanation),
      };
    case ExplanationStatus.UNKNOWN_QUEUE:
      return invalidField('queue', `There is no queue ${request.queue}.`);
    case ExplanationStatus.NO_OWNER:
      return errorResponse(
        ResultCodes.POOL_WITHOUT_OWNER,
        'The pool has no owner that responds to this entry.',
      );
    case ExplanationStatus.BUSY:
      return errorResponse(
        ResultCodes.OWNER_BUSY,
        'Earlier explanations took as much of its time as they may.',
        {retryAfterMillis: BUSY_RETRY_MILLIS},
      );
  }
}

function invalidField(field: string, problem: string): ApiResponse {
  const message = `The field ${field} is not valid: ${problem}`;
  return errorResponse(ResultCodes.BAD_REQUEST, message, {details: {field}});
}

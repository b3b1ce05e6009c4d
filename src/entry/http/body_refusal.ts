import {BodyBudgetError, BodyTooLargeError} from '../../http/request_bodies.js';
import {ResultCodes} from '../../observability/result_codes.js';
import {apiError, RETRY_AFTER_MILLIS} from './api_types.js';

/**
 * Returns the error that ends a call whose body was not received; undefined for
 * other errors.
 */
export function refusalOfBody(error: unknown): Error | undefined {
  if (error instanceof BodyTooLargeError)
    return apiError(ResultCodes.BODY_TOO_LARGE, error.message);
  if (!(error instanceof BodyBudgetError)) return undefined;
  return apiError(ResultCodes.TOO_MANY_BODIES, error.message, {
    retryAfterMillis: RETRY_AFTER_MILLIS,
  });
}

import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import {
  StoreBudgetError,
  StoreUnavailableError,
} from '../../backends/platform_errors.js';
import {LinkError} from '../../protocol/link_error.js';
import {BaseError, messageOf} from '../../utilities/base_error.js';

/** A call of the HTTP API with its complete body. */
export interface ApiCall {
  readonly method: string;
  /** The path and query as sent. */
  readonly target: string;
  /** Decoded segments of the path. */
  readonly segments: readonly string[];
  readonly query: URLSearchParams;
  /** Keyed by lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Uint8Array;
}

/** The complete response to a call. */
export interface ApiResponse {
  readonly status: number;
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
  readonly body: Uint8Array;
}

/** An error that ends a call with a result code. */
export const ApiError = BaseError.subclass('ApiError', {
  props: {
    resultCode: ResultCodes.INTERNAL as ResultCode,
    /** Additional fields of the response body. */
    details: {} as Readonly<Record<string, unknown>>,
    retryAfterMillis: undefined as number | undefined,
  },
});

const MILLIS_PER_SECOND = 1_000;
/** Retry delay sent to callers after a failure that may be temporary. */
export const RETRY_AFTER_MILLIS = 1_000;

/** Contents of an error response besides its code and message. */
export interface ErrorResponseOptions {
  /** Additional fields of the response body. */
  readonly details?: Readonly<Record<string, unknown>>;
  /** Retry delay for the caller; if absent, no retry header is sent. */
  readonly retryAfterMillis?: number;
}

/** Returns an error that ends a call with the result code. */
export function apiError(
  resultCode: ResultCode,
  message: string,
  options: ErrorResponseOptions = {},
): Error {
  const {details = {}, retryAfterMillis} = options;
  return new ApiError(message, {
    props: {resultCode, details, retryAfterMillis},
  });
}

/** Returns a response with a JSON body; the default status is 200. */
export function jsonResponse(
  value: unknown,
  options: {
    status?: number;
    headers?: ReadonlyArray<readonly [string, string]>;
  } = {},
): ApiResponse {
  const {status = 200, headers = []} = options;
  return {
    status,
    headers: [['content-type', 'application/json'], ...headers],
    body: Buffer.from(JSON.stringify(value)),
  };
}

/** Returns the response to a call that failed with the result code. */
export function errorResponse(
  resultCode: ResultCode,
  message: string,
  options: ErrorResponseOptions = {},
): ApiResponse {
  const {details = {}, retryAfterMillis} = options;
  const headers: Array<readonly [string, string]> = [
    ['x-result-code', String(resultCode.number)],
  ];
  if (retryAfterMillis !== undefined) {
    const seconds = Math.max(
      1,
      Math.ceil(retryAfterMillis / MILLIS_PER_SECOND),
    );
    headers.push(['retry-after', String(seconds)]);
    headers.push(['x-retry-after-milliseconds', String(retryAfterMillis)]);
  }
  const body = {
    code: resultCode.number,
    name: resultCode.name,
    message,
    ...details,
  };
  return jsonResponse(body, {status: resultCode.httpStatus, headers});
}

/** Converts an error that ended a call into the response. */
export function responseOfError(error: unknown): ApiResponse {
  if (error instanceof ApiError) {
    const {resultCode, details, retryAfterMillis} = error;
    return errorResponse(resultCode, error.message, {
      details,
      retryAfterMillis,
    });
  }
  const resultCode = resultCodeOf(error);
  if (resultCode === ResultCodes.INTERNAL) {
    return errorResponse(resultCode, 'An unexpected error occurred.');
  }
  const retryAfterMillis = RETRY_AFTER_MILLIS;
  return errorResponse(resultCode, messageOf(error), {retryAfterMillis});
}

/**
 * Store writes resolve their own outcome, so a store error that ends a call is
 * from a read: nothing was changed.
 */
function resultCodeOf(error: unknown): ResultCode {
  if (error instanceof StoreUnavailableError) {
    return ResultCodes.STORE_UNAVAILABLE;
  }
  if (error instanceof StoreBudgetError) return ResultCodes.STORE_UNAVAILABLE;
  if (error instanceof LinkError) return ResultCodes.PROCESS_UNREACHABLE;
  return ResultCodes.INTERNAL;
}

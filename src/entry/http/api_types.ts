import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import {
  StoreBudgetError,
  StoreUnavailableError,
} from '../../backends/platform_errors.js';
import {LinkError} from '../../protocol/link_error.js';
import {BaseError, messageOf} from '../../utilities/base_error.js';

/** A call of the HTTP API, its body read whole. */
export interface ApiCall {
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  /** Decoded segments of the path. */
  readonly segments: readonly string[];
  readonly query: URLSearchParams;
  /** By lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Uint8Array;
}

/** The whole answer to a call. */
export interface ApiAnswer {
  readonly status: number;
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
  readonly body: Uint8Array;
}

/** Ends a call with a numbered result. */
export const ApiError = BaseError.subclass('ApiError', {
  props: {
    resultCode: ResultCodes.INTERNAL as ResultCode,
    /** Further fields of the answer's body. */
    details: {} as Readonly<Record<string, unknown>>,
    retryAfterMillis: undefined as number | undefined,
  },
});

const MILLIS_A_SECOND = 1_000;
/** When a caller may come back after a refusal that a wait may mend. */
export const RETRY_AFTER_MILLIS = 1_000;

/** What a failure tells besides its code and message. */
export interface FailureOptions {
  /** Further fields of the answer's body. */
  readonly details?: Readonly<Record<string, unknown>>;
  /** When the caller may come back; without it no such header is sent. */
  readonly retryAfterMillis?: number;
}

/** An error that ends a call with the numbered result. */
export function apiError(
  resultCode: ResultCode,
  message: string,
  options: FailureOptions = {},
): Error {
  const {details = {}, retryAfterMillis} = options;
  return new ApiError(message, {
    props: {resultCode, details, retryAfterMillis},
  });
}

/** An answer with a JSON body, of status 200 unless told otherwise. */
export function jsonAnswer(
  value: unknown,
  options: {
    status?: number;
    headers?: ReadonlyArray<readonly [string, string]>;
  } = {},
): ApiAnswer {
  const {status = 200, headers = []} = options;
  return {
    status,
    headers: [['content-type', 'application/json'], ...headers],
    body: Buffer.from(JSON.stringify(value)),
  };
}

/** The answer of a call that ended with a numbered result. */
export function failureAnswer(
  resultCode: ResultCode,
  message: string,
  options: FailureOptions = {},
): ApiAnswer {
  const {details = {}, retryAfterMillis} = options;
  const headers: Array<readonly [string, string]> = [
    ['x-result-code', String(resultCode.number)],
  ];
  if (retryAfterMillis !== undefined) {
    const seconds = Math.max(1, Math.ceil(retryAfterMillis / MILLIS_A_SECOND));
    headers.push(['retry-after', String(seconds)]);
    headers.push(['x-retry-after-milliseconds', String(retryAfterMillis)]);
  }
  const body = {
    code: resultCode.number,
    name: resultCode.name,
    message,
    ...details,
  };
  return jsonAnswer(body, {status: resultCode.httpStatus, headers});
}

/** Turns whatever ended a call into its answer. */
export function answerOfError(error: unknown): ApiAnswer {
  if (error instanceof ApiError) {
    const {resultCode, details, retryAfterMillis} = error;
    return failureAnswer(resultCode, error.message, {
      details,
      retryAfterMillis,
    });
  }
  const resultCode = resultCodeOf(error);
  if (resultCode === ResultCodes.INTERNAL) {
    return failureAnswer(resultCode, 'An unexpected fault.');
  }
  const retryAfterMillis = RETRY_AFTER_MILLIS;
  return failureAnswer(resultCode, messageOf(error), {retryAfterMillis});
}

/**
 * Writes to the store settle their outcome themselves, so an error of the store
 * that ends a call comes from a read: nothing was changed.
 */
function resultCodeOf(error: unknown): ResultCode {
  if (error instanceof StoreUnavailableError) {
    return ResultCodes.STORE_UNAVAILABLE;
  }
  if (error instanceof StoreBudgetError) return ResultCodes.STORE_UNAVAILABLE;
  if (error instanceof LinkError) return ResultCodes.PROCESS_UNREACHABLE;
  return ResultCodes.INTERNAL;
}

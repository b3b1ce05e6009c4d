import {ResultCodes} from '../../observability/result_codes.js';
import type {SettingsView} from '../../settings/settings_view.js';
import {apiError} from '../http/api_types.js';
import type {ApiCall} from '../http/api_types.js';
import {checkName} from '../http/job_submission.js';
import {UNFORWARDED_HEADERS} from './unforwarded_headers.js';
import {newRequestId} from './caller_request.js';
import type {CallerRequest} from './caller_request.js';

const DEFAULT_DEADLINE_MILLIS = 5_000;
const MAXIMUM_DEADLINE_MILLIS = 60_000;
const SERVICES_PREFIX_SEGMENTS = 3;
const REQUEST_ID = /^[\x21-\x7e]{1,100}$/;
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);

/**
 * Reads a service request from a call of `/v1/services/<service>/<path>`.
 *
 * @throws ApiError when a header or a name is malformed.
 */
export function readCallerRequest(
  call: ApiCall,
  service: string,
  settings: SettingsView,
): CallerRequest {
  const {headers} = call;
  const serviceSettings = settings.service(checkName('The service', service));
  // The owning team's limit applies, whatever team the caller names.
  const team = serviceSettings?.team ?? headers.get('x-team') ?? '';
  const defaultDeadlineMillis =
    serviceSettings?.defaultDeadlineMillis ?? DEFAULT_DEADLINE_MILLIS;
  const idempotentMethods =
    serviceSettings?.idempotentMethods ?? IDEMPOTENT_METHODS;
  return {
    requestId: readRequestId(headers.get('x-request-id')),
    service,
    team,
    method: call.method,
    path: pathWithinService(call.target),
    headers: forwardedHeaders(headers),
    body: call.body,
    deadlineMillis: readDeadline(
      headers.get('x-deadline-milliseconds'),
      defaultDeadlineMillis,
    ),
    idempotent: readIdempotent(
      headers.get('x-idempotent'),
      idempotentMethods.has(call.method),
    ),
  };
}

function readRequestId(value: string | undefined): string {
  if (value === undefined) return newRequestId();
  if (REQUEST_ID.test(value)) return value;
  throw apiError(
    ResultCodes.BAD_REQUEST,
    'Header x-request-id must be 1 to 100 printable characters.',
  );
}

function readDeadline(
  value: string | undefined,
  defaultMillis: number,
): number {
  if (value === undefined) return defaultMillis;
  const millis = Number(value);
  const isValid =
    Number.isInteger(millis) &&
    millis >= 1 &&
    millis <= MAXIMUM_DEADLINE_MILLIS;
  if (isValid) return millis;
  throw apiError(
    ResultCodes.BAD_REQUEST,
    `Header x-deadline-milliseconds must be 1 to ${MAXIMUM_DEADLINE_MILLIS}.`,
  );
}

function readIdempotent(
  value: string | undefined,
  defaultForMethod: boolean,
): boolean {
  if (value === undefined) return defaultForMethod;
  if (value === 'true') return true;
  if (value === 'false') return false;
  throw apiError(
    ResultCodes.BAD_REQUEST,
    'Header x-idempotent must be true or false.',
  );
}

function pathWithinService(target: string): string {
  const segments = target.split('/');
  return `/${segments.slice(SERVICES_PREFIX_SEGMENTS + 1).join('/')}`;
}

function forwardedHeaders(
  headers: ReadonlyMap<string, string>,
): Array<readonly [string, string]> {
  const forwarded: Array<readonly [string, string]> = [];
  for (const [name, value] of headers) {
    if (UNFORWARDED_HEADERS.has(name)) continue;
    forwarded.push([name, value]);
  }
  return forwarded;
}

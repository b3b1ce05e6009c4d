import {ResultCodes} from '../../observability/result_codes.js';
import type {SettingsView} from '../../settings/settings_view.js';
import {apiError} from '../http/api_types.js';
import type {ApiCall} from '../http/api_types.js';
import {checkName} from '../http/job_submission.js';
import {HOP_HEADERS} from './hop_headers.js';
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
  // The limit of a service holds whatever team a caller names.
  const team = serviceSettings?.team ?? headers.get('x-team') ?? '';
  const defaultDeadline =
    serviceSettings?.defaultDeadlineMillis ?? DEFAULT_DEADLINE_MILLIS;
  const methods = serviceSettings?.idempotentMethods ?? IDEMPOTENT_METHODS;
  return {
    requestId: readRequestId(headers.get('x-request-id')),
    service,
    team,
    method: call.method,
    path: pathBehind(call.target),
    headers: passedHeaders(headers),
    body: call.body,
    deadlineMillis: readDeadline(
      headers.get('x-deadline-milliseconds'),
      defaultDeadline,
    ),
    idempotent: readIdempotent(
      headers.get('x-idempotent'),
      methods.has(call.method),
    ),
  };
}

function readRequestId(value: string | undefined): string {
  if (value === undefined) return newRequestId();
  if (REQUEST_ID.test(value)) return value;
  throw apiError(
    ResultCodes.BAD_REQUEST,
    'Header x-request-id is not 1 to 100 printable characters.',
  );
}

function readDeadline(value: string | undefined, absent: number): number {
  if (value === undefined) return absent;
  const millis = Number(value);
  const fits =
    Number.isInteger(millis) &&
    millis >= 1 &&
    millis <= MAXIMUM_DEADLINE_MILLIS;
  if (fits) return millis;
  throw apiError(
    ResultCodes.BAD_REQUEST,
    `Header x-deadline-milliseconds is not 1 to ${MAXIMUM_DEADLINE_MILLIS}.`,
  );
}

function readIdempotent(value: string | undefined, byMethod: boolean): boolean {
  if (value === undefined) return byMethod;
  if (value === 'true') return true;
  if (value === 'false') return false;
  throw apiError(
    ResultCodes.BAD_REQUEST,
    'Header x-idempotent is not true or false.',
  );
}

function pathBehind(target: string): string {
  const parts = target.split('/');
  return `/${parts.slice(SERVICES_PREFIX_SEGMENTS + 1).join('/')}`;
}

function passedHeaders(
  headers: ReadonlyMap<string, string>,
): Array<readonly [string, string]> {
  const passed: Array<readonly [string, string]> = [];
  for (const [name, value] of headers) {
    if (HOP_HEADERS.has(name)) continue;
    passed.push([name, value]);
  }
  return passed;
}

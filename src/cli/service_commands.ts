import type {Service, Upstream} from './api_types.js';
import {failureOf} from './entry_client.js';
import type {EntryAnswer} from './entry_client.js';
import {ExitCodes} from './exit_codes.js';
import {formatTable} from './table.js';
import {defineToolCommand, wholeNumber} from './tool_command.js';
import {toolError, usageError} from './tool_error.js';

/** `burdockmoor service …` */

const FIRST_ERROR_STATUS = 400;
const DEADLINE_MARGIN_MILLIS = 2_000;
const HTTP_METHOD = /^[A-Z]{3,7}$/;

export const listServices = defineToolCommand({
  name: 'list',
  description: 'List the services with their upstreams',
  example: 'burdockmoor service list',
  args: {},
  async run(session) {
    const answer = await session.client.read<{services: readonly Service[]}>(
      '/v1/services',
    );
    const rows = answer.services.flatMap(service =>
      service.upstreams.map(upstream => [
        service.service,
        upstream.vm,
        upstream.failureDomain,
        `${upstream.inFlight} of ${upstream.slots}`,
        upstream.queued,
        tailText(upstream),
        stateOf(upstream),
      ]),
    );
    const headings = [
      'SERVICE',
      'VM',
      'FAILURE DOMAIN',
      'SLOTS BUSY',
      'QUEUED',
      'P99',
      'STATE',
    ];
    session.show(answer, formatTable(headings, rows));
  },
});

export const callService = defineToolCommand({
  name: 'call',
  description: 'Send a request to a service and write its answer',
  example: 'burdockmoor service call rounds GET /stock/van-7',
  args: {
    service: {
      type: 'positional',
      description: 'The service',
      required: true,
    },
    method: {
      type: 'positional',
      description: 'The HTTP method',
      required: true,
    },
    path: {type: 'positional', description: 'The path', required: true},
    data: {type: 'string', description: 'The body', valueHint: 'text'},
    team: {type: 'string', description: 'The team', valueHint: 'name'},
    'deadline-milliseconds': {
      type: 'string',
      description: "Else the service's own default",
      valueHint: 'number',
    },
    'request-id': {
      type: 'string',
      description: 'Else the entry draws one',
      valueHint: 'text',
    },
    idempotent: {
      type: 'boolean',
      description: 'The request may be repeated, whatever its method',
      negativeDescription: 'The request must run at most once',
    },
  },
  async run(session, args) {
    const deadline = wholeNumber(
      'deadline-milliseconds',
      args['deadline-milliseconds'],
    );
    const headers = definedHeaders({
      'x-team': args.team,
      'x-request-id': args['request-id'],
      'x-deadline-milliseconds': deadline?.toString(),
      'x-idempotent': args.idempotent?.toString(),
    });
    const answer = await session.client.send({
      method: checkMethod(args.method.toUpperCase()),
      path: servicePath(args.service, args.path),
      headers,
      body: args.data,
      timeoutMillis: deadline && deadline + DEADLINE_MARGIN_MILLIS,
    });
    if (answer.headers['x-result-code'] !== undefined) throw failureOf(answer);
    session.show({status: answer.status, body: answer.text}, answer.text);
    throwIfError(answer);
  },
});

function servicePath(service: string, path: string): string {
  const behind = path.startsWith('/') ? path : `/${path}`;
  return `/v1/services/${encodeURIComponent(service)}${behind}`;
}

function checkMethod(method: string): string {
  if (HTTP_METHOD.test(method)) return method;
  throw usageError(`${method} is not an HTTP method.`);
}

function definedHeaders(
  headers: Readonly<Record<string, string | undefined>>,
): Record<string, string> {
  const defined = Object.entries(headers).filter(
    (header): header is [string, string] => header[1] !== undefined,
  );
  return Object.fromEntries(defined);
}

function throwIfError(answer: EntryAnswer): void {
  if (answer.status < FIRST_ERROR_STATUS) return;
  const message = `The service answered with status ${answer.status}.`;
  throw toolError(ExitCodes.UNSUCCESSFUL, message);
}

/** The 99th percentile of answer times; a hyphen while it is unknown. */
function tailText({tailMillis}: Upstream): string {
  return tailMillis > 0 ? `${Math.round(tailMillis)} ms` : '-';
}

function stateOf(upstream: Upstream): string {
  if (upstream.draining) return 'draining';
  return upstream.unavailable ? 'unavailable' : 'open';
}

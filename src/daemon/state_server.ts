import type {IncomingMessage} from 'node:http';
import {errorResponse, responseOfError} from '../entry/http/api_types.js';
import type {ApiResponse} from '../entry/http/api_types.js';
import {refusalOfBody} from '../entry/http/body_refusal.js';
import {HttpListener} from '../http/http_listener.js';
import type {ListenerMonitor} from '../http/listener_monitor.js';
import {sendResponse} from '../http/send_response.js';
import type {HttpResponse} from '../http/send_response.js';
import type {Metrics} from '../observability/metrics.js';
import {ResultCodes} from '../observability/result_codes.js';

/** Metrics and state of the process that the server exposes. */
export interface StateSource {
  readonly metrics: Metrics;
  /** Resolves to the state as JSON. */
  dumpState(): Promise<string>;
  /** Responds to a workflow as JSON; absent in processes without a pool. */
  explainPlacement?(body: string): Promise<ApiResponse>;
}

export interface StateServerOptions {
  readonly connections?: number;
  readonly unsentMillis?: number;
  readonly monitor?: ListenerMonitor;
}

const EXPLAIN_PATH = '/placement/explain';
/** Well above the largest valid request, which has 20 steps. */
const BODY_LIMIT_BYTES = 65_536;
const DEFAULT_CONNECTIONS = 32;
/** A response may be megabytes in size, so that few are prepared at once. */
const CALLS_PER_CONNECTION = 1;
const CALL_BYTES = 4_096;
const BODY_BYTES = 1_048_576;
const HTTP_NOT_FOUND = 404;

/** Creates a server of `/metrics` and `/state` for a process without an API. */
export function createStateServer(
  source: StateSource,
  options: StateServerOptions = {},
): HttpListener {
  const {connections = DEFAULT_CONNECTIONS, unsentMillis, monitor} = options;
  const listener: HttpListener = new HttpListener({
    handle: async (request, response) =>
      sendResponse(request, response, await respond(source, listener, request)),
    limits: {
      connections,
      callsPerConnection: CALLS_PER_CONNECTION,
      callBytes: CALL_BYTES,
      bodyBytes: BODY_BYTES,
      ...(unsentMillis !== undefined && {unsentMillis}),
    },
    monitor,
  });
  return listener;
}

async function respond(
  source: StateSource,
  listener: HttpListener,
  request: IncomingMessage,
): Promise<HttpResponse> {
  if (request.url === '/metrics') {
    const headers = [['content-type', 'text/plain; version=0.0.4']] as const;
    return {status: 200, headers, body: source.metrics.render()};
  }
  if (request.url === '/state') {
    const headers = [['content-type', 'application/json']] as const;
    return {status: 200, headers, body: await source.dumpState()};
  }
  if (request.url === EXPLAIN_PATH && source.explainPlacement) {
    return explain(source, listener, request);
  }
  return {status: HTTP_NOT_FOUND};
}

async function explain(
  source: StateSource,
  listener: HttpListener,
  request: IncomingMessage,
): Promise<ApiResponse> {
  if (request.method !== 'POST') {
    const message = `${EXPLAIN_PATH} only supports POST.`;
    const refusal = errorResponse(ResultCodes.METHOD_NOT_ALLOWED, message);
    return {...refusal, headers: [...refusal.headers, ['allow', 'POST']]};
  }
  try {
    return await listener.bodies.use(request, BODY_LIMIT_BYTES, body =>
      source.explainPlacement!(body.toString('utf8')),
    );
  } catch (error) {
    const refusal = refusalOfBody(error);
    if (!refusal) throw error;
    return responseOfError(refusal);
  }
}

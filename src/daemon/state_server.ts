import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {errorResponse} from '../entry/http/api_types.js';
import type {ApiResponse} from '../entry/http/api_types.js';
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

const EXPLAIN_PATH = '/placement/explain';
/** Well above the largest valid request, which has 20 steps. */
const BODY_LIMIT_BYTES = 65_536;
const HTTP_NOT_FOUND = 404;
const HTTP_INTERNAL_SERVER_ERROR = 500;

/** Creates a server of `/metrics` and `/state` for a process without an API. */
export function createStateServer(source: StateSource): Server {
  return createServer((request, response) => {
    respond(source, request, response).catch(() => {
      if (!response.headersSent) response.writeHead(HTTP_INTERNAL_SERVER_ERROR);
      response.end();
    });
  });
}

async function respond(
  source: StateSource,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (request.url === '/metrics') {
    response.setHeader('content-type', 'text/plain; version=0.0.4');
    response.end(source.metrics.render());
    return;
  }
  if (request.url === '/state') {
    response.setHeader('content-type', 'application/json');
    response.end(await source.dumpState());
    return;
  }
  if (request.url === EXPLAIN_PATH && source.explainPlacement) {
    send(response, await explain(source, request));
    return;
  }
  response.writeHead(HTTP_NOT_FOUND).end();
}

async function explain(
  source: StateSource,
  request: IncomingMessage,
): Promise<ApiResponse> {
  if (request.method !== 'POST') {
    const message = `${EXPLAIN_PATH} only supports POST.`;
    const refusal = errorResponse(ResultCodes.METHOD_NOT_ALLOWED, message);
    return {...refusal, headers: [...refusal.headers, ['allow', 'POST']]};
  }
  const body = await readBody(request);
  if (body === undefined) {
    const message = `The body exceeds ${BODY_LIMIT_BYTES} bytes.`;
    const refusal = errorResponse(ResultCodes.BODY_TOO_LARGE, message);
    // The rest of the body is not read, so the connection can't be used again.
    return {...refusal, headers: [...refusal.headers, ['connection', 'close']]};
  }
  return source.explainPlacement!(body);
}

/** Undefined if the body exceeds the limit. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  const iterator = request.iterator({destroyOnReturn: false});
  for await (const chunk of iterator as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > BODY_LIMIT_BYTES) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function send(
  response: ServerResponse,
  {status, headers, body}: ApiResponse,
): void {
  response.writeHead(status, [...headers].flat());
  response.end(body);
}

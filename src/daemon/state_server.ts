import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Metrics} from '../observability/metrics.js';

/** What the server shows of its process. */
export interface StateSource {
  readonly metrics: Metrics;
  /** Resolves to the state as JSON. */
  dumpState(): Promise<string>;
}

const NOT_FOUND = 404;
const FAULT = 500;

/** Serves `GET /metrics` and `GET /state` of a process without an API. */
export function createStateServer(source: StateSource): Server {
  return createServer((request, response) => {
    answer(source, request, response).catch(() => {
      if (!response.headersSent) response.writeHead(FAULT);
      response.end();
    });
  });
}

async function answer(
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
  response.writeHead(NOT_FOUND).end();
}

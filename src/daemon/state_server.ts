import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Metrics} from '../observability/metrics.js';

/** Metrics and state of the process that the server exposes. */
export interface StateSource {
  readonly metrics: Metrics;
  /** Resolves to the state as JSON. */
  dumpState(): Promise<string>;
}

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
  response.writeHead(HTTP_NOT_FOUND).end();
}

import {messageOf} from '../utilities/base_error.js';
import {SystemClock} from '../utilities/clock.js';
import type {Clock} from '../utilities/clock.js';
import {ExecutorFailure} from './executor.js';
import type {Executor, ExecutorResponse, ExecutorRequest} from './executor.js';
import {HttpCallError, HttpConnections} from './http_connections.js';
import {ExecutorError} from './platform_errors.js';

const DEFAULT_CONNECTIONS = 64;
const DEFAULT_PROBE_TIMEOUT_MILLIS = 1_000;
const PROBE_PATH = '/health';
const REQUEST_ID_HEADER = 'x-request-id';
/** Milliseconds since 1970 after which the request must not be started. */
const START_BY_HEADER = 'x-start-by-milliseconds';
/** Set on the response to a request that arrived after its start-by time. */
const NOT_RUN_HEADER = 'x-not-run';
/** Hop-by-hop headers and the headers that this class sets. */
const RESERVED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'host',
  'upgrade',
  'expect',
  'te',
  'trailer',
  REQUEST_ID_HEADER,
  START_BY_HEADER,
]);

export interface HttpExecutorOptions {
  /** HOST:PORT or an origin. */
  readonly address: string;
  readonly clock?: Clock;
  /** Maximum number of open connections. */
  readonly connections?: number;
  /** Timeout of a probe. */
  readonly timeoutMillis?: number;
  readonly silenceMillis?: number;
}

/**
 * An executor reached over HTTP/1.1. A response is accepted only if it is
 * complete and carries the `x-request-id` of the request.
 */
export class HttpExecutor implements Executor {
  private readonly connections: HttpConnections;
  private readonly probeTimeoutMillis: number;
  private readonly clock: Clock;
  private probeCount = 0;

  constructor(options: HttpExecutorOptions) {
    this.connections = new HttpConnections({
      ...options,
      connections: options.connections ?? DEFAULT_CONNECTIONS,
    });
    this.clock = options.clock ?? new SystemClock();
    this.probeTimeoutMillis =
      options.timeoutMillis ?? DEFAULT_PROBE_TIMEOUT_MILLIS;
  }

  async send(request: ExecutorRequest): Promise<ExecutorResponse> {
    const {requestId, method, path, body} = request;
    const headers = request.headers.filter(
      ([name]) => !RESERVED_HEADERS.has(name.toLowerCase()),
    );
    const startBy = `${Math.floor(request.startByMillis)}`;
    const response = await this.connections
      .call({
        method,
        path,
        headers: [
          ...headers,
          [REQUEST_ID_HEADER, requestId],
          [START_BY_HEADER, startBy],
        ],
        body,
        timeoutMillis: request.deadlineMillis,
        describeMismatch: responseHeaders =>
          describeMismatch(requestId, responseHeaders),
      })
      .catch(thrown => {
        throw toExecutorError(thrown);
      });
    const notRun = response.headers.find(([name]) => name === NOT_RUN_HEADER);
    if (!notRun) return response;
    const failure = ExecutorFailure.NOT_SENT;
    const message = `the executor did not run ${requestId}: ${notRun[1]}`;
    throw new ExecutorError(message, {props: {failure}});
  }

  async probe(): Promise<void> {
    const requestId = `probe-${++this.probeCount}`;
    await this.send({
      requestId,
      method: 'GET',
      path: PROBE_PATH,
      headers: [],
      body: Buffer.alloc(0),
      deadlineMillis: this.probeTimeoutMillis,
      startByMillis: this.clock.wallTime() + this.probeTimeoutMillis,
    });
  }

  close(reason: string): void {
    this.connections.close(reason);
  }
}

/** Returns why a response is not to this request; undefined if it is. */
export function describeMismatch(
  requestId: string,
  headers: ExecutorResponse['headers'],
): string | undefined {
  const pair = headers.find(([name]) => name === REQUEST_ID_HEADER);
  if (pair?.[1] === requestId) return undefined;
  return `the response is to ${pair?.[1] ?? 'an unnamed request'}, not to ${requestId}`;
}

function toExecutorError(thrown: unknown): InstanceType<typeof ExecutorError> {
  const sent = !(thrown instanceof HttpCallError) || thrown.sent;
  const failure = sent ? ExecutorFailure.UNKNOWN : ExecutorFailure.NOT_SENT;
  return new ExecutorError(messageOf(thrown), {props: {failure}});
}

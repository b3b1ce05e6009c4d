import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {ResultCodes} from '../../observability/result_codes.js';
import {responseOfError, apiError} from './api_types.js';
import type {ApiResponse, ApiCall} from './api_types.js';
import {CallerConnections} from './caller_connections.js';
import {UnparsedCallResponder} from './unparsed_call_responder.js';

const DEFAULT_HEADERS_TIMEOUT_MILLIS = 10_000;
const DEFAULT_REQUEST_TIMEOUT_MILLIS = 60_000;
/** Above the idle timeout of load balancers, so that they close first. */
const DEFAULT_KEEP_ALIVE_MILLIS = 75_000;
/** Time for the first call of a connection opened just before the close. */
const FIRST_CALL_GRACE_MILLIS = 1_000;
/** How often connections are checked for calls that arrive too slowly. */
const DEFAULT_CONNECTION_CHECK_MILLIS = 1_000;
const CLOSE_GRACE_MILLIS = 5_000;

/** Handles a call; a rejection becomes a response with a result code. */
export type ApiHandler = (call: ApiCall) => Promise<ApiResponse>;

/** Limits of an ApiServer. */
export interface ApiServerOptions {
  readonly bodyLimitBytes: number;
  /** Idle connections are closed after this time. */
  readonly keepAliveMillis?: number;
  /** Time for the headers of a call to arrive. */
  readonly headersTimeoutMillis?: number;
  /** Time for a whole call to arrive. */
  readonly requestTimeoutMillis?: number;
  readonly connectionCheckMillis?: number;
}

/** The HTTP/1.1 server of an entry. */
export class ApiServer {
  private readonly server: Server;
  private readonly connections: CallerConnections;
  private readonly unparsedCallResponder: UnparsedCallResponder;
  private isClosing = false;

  constructor(
    private readonly handler: ApiHandler,
    private readonly options: ApiServerOptions,
  ) {
    this.server = createServer(
      {
        keepAliveTimeout: options.keepAliveMillis ?? DEFAULT_KEEP_ALIVE_MILLIS,
        headersTimeout:
          options.headersTimeoutMillis ?? DEFAULT_HEADERS_TIMEOUT_MILLIS,
        requestTimeout:
          options.requestTimeoutMillis ?? DEFAULT_REQUEST_TIMEOUT_MILLIS,
        connectionsCheckingInterval:
          options.connectionCheckMillis ?? DEFAULT_CONNECTION_CHECK_MILLIS,
        // Checked by checkHost(), so that the response has a result code.
        requireHostHeader: false,
      },
      (request, response) => void this.respond(request, response),
    );
    this.server.on(
      'checkExpectation',
      (request, response) => void this.respond(request, response),
    );
    this.connections = new CallerConnections(this.server);
    this.unparsedCallResponder = new UnparsedCallResponder(this.server);
  }

  /** Listens and resolves to the port; port 0 selects a free one. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** From now on each response closes its connection, so that callers leave. */
  drain(): void {
    this.isClosing = true;
  }

  /**
   * Ends idle connections, lets calls in progress finish, then closes. Destroys
   * the connections that are still open after CLOSE_GRACE_MILLIS.
   */
  async close(): Promise<void> {
    this.isClosing = true;
    await waitForPoll();
    const closed = this.stopListening();
    this.connections.endIdleUsed();
    const timers = [
      setTimeout(() => this.connections.endIdle(), FIRST_CALL_GRACE_MILLIS),
      setTimeout(() => this.server.closeAllConnections(), CLOSE_GRACE_MILLIS),
    ];
    await closed;
    for (const timer of timers) clearTimeout(timer);
  }

  /**
   * Resolves once all connections have ended. Calls close() of net.Server, as
   * that of http.Server destroys idle connections.
   */
  private stopListening(): Promise<void> {
    return new Promise(resolve => {
      NetServer.prototype.close.call(this.server, () => resolve());
    });
  }

  private async respond(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (!this.connections.beginCall(request, response)) {
      // Reads the remaining data, so that the connection can end.
      request.resume();
      return;
    }
    const apiResponse = await this.handle(request).catch(responseOfError);
    if (response.destroyed) return;
    response.statusCode = apiResponse.status;
    for (const [name, value] of apiResponse.headers) {
      response.appendHeader(name, value);
    }
    response.setHeader('content-length', apiResponse.body.byteLength);
    if (this.isClosing || !request.complete) {
      response.setHeader('connection', 'close');
    }
    response.end(apiResponse.body);
  }

  private async handle(request: IncomingMessage): Promise<ApiResponse> {
    checkHost(request);
    const target = readTarget(request.url ?? '/');
    const body = await this.readBody(request);
    const {socket} = request;
    this.unparsedCallResponder.beginCall(socket);
    try {
      return await this.handler({
        ...target,
        method: request.method ?? 'GET',
        headers: readHeaders(request),
        body,
      });
    } finally {
      this.unparsedCallResponder.endCall(socket);
    }
  }

  private async readBody(request: IncomingMessage): Promise<Uint8Array> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.byteLength;
      if (length > this.options.bodyLimitBytes) {
        throw apiError(
          ResultCodes.BODY_TOO_LARGE,
          `The body is over ${this.options.bodyLimitBytes} bytes.`,
        );
      }
      chunks.push(chunk);
    }
    return Buffer.concat(chunks);
  }
}

/**
 * Resolves once the event loop has accepted the connections and read the data
 * that had arrived by now: a complete poll phase precedes the second immediate.
 * Closing earlier would reset those connections.
 */
function waitForPoll(): Promise<void> {
  return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

function checkHost({headers, httpVersion}: IncomingMessage): void {
  if (headers.host !== undefined || httpVersion === '1.0') return;
  throw apiError(ResultCodes.BAD_REQUEST, 'Header host is missing.');
}

/**
 * Splits the target of a call into the segments of its path and its query.
 *
 * @throws ApiError when the path is not valid percent-encoding.
 */
export function readTarget(
  target: string,
): Pick<ApiCall, 'target' | 'segments' | 'query'> {
  const [path, queryText = ''] = target.split('?', 2);
  return {
    target,
    segments: decodeSegments(path),
    query: new URLSearchParams(queryText),
  };
}

/**
 * Returns the decoded segments of a path.
 *
 * @throws ApiError when the path is not valid percent-encoding.
 */
export function decodeSegments(path: string): string[] {
  try {
    return path.split('/').slice(1).map(decodeURIComponent);
  } catch {
    throw apiError(
      ResultCodes.BAD_REQUEST,
      'The path is not valid percent-encoding.',
    );
  }
}

function readHeaders(request: IncomingMessage): Map<string, string> {
  const headers = new Map<string, string>();
  for (const [name, value] of Object.entries(request.headers)) {
    if (value === undefined) continue;
    headers.set(name, Array.isArray(value) ? value.join(', ') : value);
  }
  return headers;
}

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import {
  DEFAULT_HEADERS_TIMEOUT_MILLIS,
  DEFAULT_REQUEST_TIMEOUT_MILLIS,
  HttpListener,
} from '../../http/http_listener.js';
import {DEFAULT_LISTENER_LIMITS} from '../../http/listener_limits.js';
import type {ListenerLimits} from '../../http/listener_limits.js';
import type {ListenerMonitor} from '../../http/listener_monitor.js';
import {sendResponse} from '../../http/send_response.js';
import {ResultCodes} from '../../observability/result_codes.js';
import {apiError, responseOfError} from './api_types.js';
import type {ApiResponse, ApiCall} from './api_types.js';
import {refusalOfBody} from './body_refusal.js';
import {UnparsedCallResponder} from './unparsed_call_responder.js';

/** Above the idle timeout of load balancers, so that they close first. */
const DEFAULT_KEEP_ALIVE_MILLIS = 75_000;
/** Time for the first call of a connection opened just before the close. */
const FIRST_CALL_GRACE_MILLIS = 1_000;
/** How often connections are checked for calls that arrive too slowly. */
const DEFAULT_CONNECTION_CHECK_MILLIS = 1_000;
const CLOSE_GRACE_MILLIS = 5_000;
const DEFAULT_HEAD_BYTES = 16_384;
/** Heads beyond this are not parsed, whatever operators have configured. */
const MAXIMUM_HEAD_BYTES = 65_536;
/** Number of bodies of the largest size that fit the memory for bodies. */
const LARGEST_BODIES = 2;
/** Two characters each between a header's name, its value and the next one. */
const SEPARATOR_BYTES = 2;

/** Handles a call; a rejection becomes a response with a result code. */
export type ApiHandler = (call: ApiCall) => Promise<ApiResponse>;

/** Limits of an ApiServer. */
export interface ApiServerOptions {
  /** Maximum size of a body; a function where it can change. */
  readonly bodyLimitBytes: number | (() => number);
  /** Maximum size of a head; a function where it can change. */
  readonly headLimitBytes?: number | (() => number);
  /** Idle connections are closed after this time. */
  readonly keepAliveMillis?: number;
  /** Time for the headers of a call to arrive. */
  readonly headersTimeoutMillis?: number;
  /** Time for a whole call to arrive. */
  readonly requestTimeoutMillis?: number;
  readonly connectionCheckMillis?: number;
  readonly limits?: Partial<ListenerLimits>;
  readonly monitor?: ListenerMonitor;
}

/** The HTTP/1.1 server of an entry. */
export class ApiServer {
  private readonly listener: HttpListener;
  private readonly unparsedCallResponder: UnparsedCallResponder;
  private isClosing = false;

  constructor(
    private readonly handler: ApiHandler,
    private readonly options: ApiServerOptions,
  ) {
    this.listener = new HttpListener({
      handle: (request, response) => this.respond(request, response),
      limits: {
        bodyBytes: bodyBudget(options.bodyLimitBytes),
        ...options.limits,
      },
      monitor: options.monitor,
      server: {
        keepAliveTimeout: options.keepAliveMillis ?? DEFAULT_KEEP_ALIVE_MILLIS,
        headersTimeout:
          options.headersTimeoutMillis ?? DEFAULT_HEADERS_TIMEOUT_MILLIS,
        requestTimeout:
          options.requestTimeoutMillis ?? DEFAULT_REQUEST_TIMEOUT_MILLIS,
        connectionsCheckingInterval:
          options.connectionCheckMillis ?? DEFAULT_CONNECTION_CHECK_MILLIS,
        maxHeaderSize:
          options.headLimitBytes === undefined
            ? DEFAULT_HEAD_BYTES
            : MAXIMUM_HEAD_BYTES,
        // Checked by checkHost(), so that the response has a result code.
        requireHostHeader: false,
      },
    });
    const {server} = this.listener;
    this.unparsedCallResponder = new UnparsedCallResponder(server);
  }

  /** Listens and resolves to the port; port 0 selects a free one. */
  listen(host: string, port: number): Promise<number> {
    return this.listener.listen(host, port);
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
    const {listener} = this;
    const closed = listener.stopListening();
    listener.connections.endIdleUsed();
    const timers = [
      setTimeout(() => listener.connections.endIdle(), FIRST_CALL_GRACE_MILLIS),
      setTimeout(() => listener.closeAllConnections(), CLOSE_GRACE_MILLIS),
    ];
    await closed;
    for (const timer of timers) clearTimeout(timer);
  }

  private async respond(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const apiResponse = await this.handle(request).catch(responseOfError);
    sendResponse(request, response, {
      ...apiResponse,
      closesConnection: this.isClosing,
    });
  }

  private async handle(request: IncomingMessage): Promise<ApiResponse> {
    checkHost(request);
    this.checkHead(request);
    const target = readTarget(request.url ?? '/');
    const limit = valueOf(this.options.bodyLimitBytes);
    try {
      const {bodies} = this.listener;
      return await bodies.use(request, limit, body =>
        this.run(
          {
            ...target,
            method: request.method ?? 'GET',
            headers: readHeaders(request),
            body,
          },
          request.socket,
        ),
      );
    } catch (error) {
      throw refusalOfBody(error) ?? error;
    }
  }

  private async run(call: ApiCall, socket: Duplex): Promise<ApiResponse> {
    this.unparsedCallResponder.beginCall(socket);
    try {
      return await this.handler(call);
    } finally {
      this.unparsedCallResponder.endCall(socket);
    }
  }

  private checkHead({url = '', rawHeaders}: IncomingMessage): void {
    const {headLimitBytes = MAXIMUM_HEAD_BYTES} = this.options;
    const limit = valueOf(headLimitBytes);
    let length = url.length;
    for (const text of rawHeaders) length += text.length + SEPARATOR_BYTES;
    if (length <= limit) return;
    const message = `The headers are over ${limit} bytes.`;
    throw apiError(ResultCodes.HEADERS_TOO_LARGE, message);
  }
}

/** Lets some bodies of the largest size be received at once. */
function bodyBudget(
  bodyLimitBytes: ApiServerOptions['bodyLimitBytes'],
): number {
  const {bodyBytes} = DEFAULT_LISTENER_LIMITS;
  if (typeof bodyLimitBytes !== 'number') return bodyBytes;
  return Math.max(bodyBytes, LARGEST_BODIES * bodyLimitBytes);
}

function valueOf(limit: number | (() => number)): number {
  return typeof limit === 'number' ? limit : limit();
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

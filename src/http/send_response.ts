import type {IncomingMessage, ServerResponse} from 'node:http';

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers?: ReadonlyArray<readonly [name: string, value: string]>;
  readonly body?: Uint8Array | string;
  /** Whether the connection ends after the response. */
  readonly closesConnection?: boolean;
}

/**
 * Sends a response. The connection ends if the body of the request was not
 * received: without it, the begin of the next request can't be found.
 */
export function sendResponse(
  request: IncomingMessage,
  response: ServerResponse,
  {status, headers = [], body = '', closesConnection = false}: HttpResponse,
): void {
  if (response.destroyed) return;
  response.statusCode = status;
  for (const [name, value] of headers) response.appendHeader(name, value);
  const isIncomplete = hasBody(request) && !request.complete;
  if (closesConnection || isIncomplete) {
    response.setHeader('connection', 'close');
  }
  response.setHeader('content-length', Buffer.byteLength(body));
  response.end(body);
}

/** Whether the headers of the request announce a body. */
export function hasBody({headers}: IncomingMessage): boolean {
  const length = headers['content-length'];
  const isChunked = headers['transfer-encoding'] !== undefined;
  return isChunked || (length !== undefined && length !== '0');
}

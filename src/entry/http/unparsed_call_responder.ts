import {STATUS_CODES} from 'node:http';
import type {Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import {errorResponse} from './api_types.js';

/** Node's error code for headers or a body that arrive too slowly. */
const TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';

/**
 * Responds with a result code to calls for which Node's HTTP server emits no
 * request (invalid HTTP, too slow, CONNECT), and ends the connection. Sends
 * nothing while an earlier call on the connection is running, as the caller
 * would take it for the response to that call.
 */
export class UnparsedCallResponder {
  private readonly runningCalls = new WeakMap<Duplex, number>();

  constructor(server: Server) {
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      const {BAD_REQUEST, CALL_TOO_SLOW} = ResultCodes;
      const message = `The call is not valid HTTP: ${error.message}.`;
      if (error.code !== TIMEOUT) this.reject(socket, BAD_REQUEST, message);
      else this.reject(socket, CALL_TOO_SLOW, CALL_TOO_SLOW.meaning);
    });
    server.on('connect', (_request, socket) =>
      this.reject(
        socket,
        ResultCodes.METHOD_NOT_ALLOWED,
        'CONNECT is not supported.',
      ),
    );
  }

  /** Records that a call of the connection has started running. */
  beginCall(socket: Duplex): void {
    this.runningCalls.set(socket, this.runningCallsOf(socket) + 1);
  }

  /** Records that a call of the connection has been handled. */
  endCall(socket: Duplex): void {
    this.runningCalls.set(socket, this.runningCallsOf(socket) - 1);
  }

  private reject(socket: Duplex, code: ResultCode, message: string): void {
    if (!socket.writable || this.runningCallsOf(socket) > 0) {
      socket.destroy();
      return;
    }
    socket.on('error', () => socket.destroy());
    socket.end(encodeResponse(code, message), () => socket.destroy());
  }

  private runningCallsOf(socket: Duplex): number {
    return this.runningCalls.get(socket) ?? 0;
  }
}

function encodeResponse(code: ResultCode, message: string): Buffer {
  const {status, headers, body} = errorResponse(code, message);
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    ...headers.map(([name, value]) => `${name}: ${value}`),
    `content-length: ${body.byteLength}`,
    'connection: close',
  ];
  return Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`), body]);
}

import {STATUS_CODES} from 'node:http';
import type {Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import {failureAnswer} from './api_types.js';

/** Node's error code for headers or a body that arrive too slowly. */
const TOO_SLOW = 'ERR_HTTP_REQUEST_TIMEOUT';

/**
 * Responds with a result code to calls for which Node's HTTP server emits no
 * request (invalid HTTP, too slow, CONNECT), and ends the connection. Sends
 * nothing while an earlier call on the connection is running, as the caller would
 * take it for the response to that call.
 */
export class UnparsedCalls {
  private readonly running = new WeakMap<Duplex, number>();

  constructor(server: Server) {
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      const {BAD_REQUEST, CALL_TOO_SLOW} = ResultCodes;
      const invalid = `The call is not valid HTTP: ${error.message}.`;
      if (error.code !== TOO_SLOW) this.refuse(socket, BAD_REQUEST, invalid);
      else this.refuse(socket, CALL_TOO_SLOW, CALL_TOO_SLOW.meaning);
    });
    server.on('connect', (_request, socket) =>
      this.refuse(
        socket,
        ResultCodes.METHOD_NOT_ALLOWED,
        'CONNECT is not supported.',
      ),
    );
  }

  /** Records that a call of the connection has started running. */
  begin(socket: Duplex): void {
    this.running.set(socket, this.count(socket) + 1);
  }

  /** Records that a call of the connection has been handled. */
  end(socket: Duplex): void {
    this.running.set(socket, this.count(socket) - 1);
  }

  private refuse(socket: Duplex, code: ResultCode, message: string): void {
    if (!socket.writable || this.count(socket) > 0) {
      socket.destroy();
      return;
    }
    socket.on('error', () => socket.destroy());
    socket.end(answerBytes(code, message), () => socket.destroy());
  }

  private count(socket: Duplex): number {
    return this.running.get(socket) ?? 0;
  }
}

function answerBytes(code: ResultCode, message: string): Buffer {
  const {status, headers, body} = failureAnswer(code, message);
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    ...headers.map(([name, value]) => `${name}: ${value}`),
    `content-length: ${body.byteLength}`,
    'connection: close',
  ];
  return Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`), body]);
}

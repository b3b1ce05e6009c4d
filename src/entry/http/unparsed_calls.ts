import {STATUS_CODES} from 'node:http';
import type {Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import {failureAnswer} from './api_types.js';

/** What Node says of a call whose headers or body trickle in. */
const TOO_SLOW = 'ERR_HTTP_REQUEST_TIMEOUT';

/**
 * Answers with a numbered result what the HTTP parser gives no request for, and
 * ends the connection. While an earlier call on the connection still runs,
 * nothing is said, for the caller would take it for the answer to that call.
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
        'No path takes CONNECT.',
      ),
    );
  }

  /** Notes that a call of the connection begins to run. */
  begin(socket: Duplex): void {
    this.running.set(socket, this.count(socket) + 1);
  }

  /** Notes that a call of the connection has its answer. */
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

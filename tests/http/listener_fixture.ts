import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {ExecutionContext} from 'ava';
import {HttpListener} from '../../src/http/http_listener.js';
import type {HttpListenerOptions} from '../../src/http/http_listener.js';

const HOST = '127.0.0.1';
const STATUS_LINE = /HTTP\/1\.1 (\d+) /g;

/** Opens a listener that the end of the test closes. */
export async function openListener(
  t: ExecutionContext,
  options: HttpListenerOptions,
): Promise<{listener: HttpListener; port: number}> {
  const listener = new HttpListener(options);
  const port = await listener.listen(HOST, 0);
  t.teardown(() => {
    listener.close();
    listener.closeAllConnections();
  });
  return {listener, port};
}

/** A client that sends raw text. */
export class RawClient {
  received = '';
  readonly closed: Promise<unknown>;
  private readonly socket: Socket;

  private constructor(port: number) {
    this.socket = connect({host: HOST, port});
    this.closed = new Promise(resolve => this.socket.once('close', resolve));
    this.socket.on('error', () => this.socket.destroy());
    this.socket.setEncoding('utf8');
    this.socket.on('data', (text: string) => (this.received += text));
  }

  static async open(t: ExecutionContext, port: number): Promise<RawClient> {
    const client = new RawClient(port);
    t.teardown(() => client.socket.destroy());
    await once(client.socket, 'connect');
    return client;
  }

  /** Statuses of the responses that have been received. */
  get statuses(): number[] {
    return [...this.received.matchAll(STATUS_LINE)].map(([, status]) =>
      Number(status),
    );
  }

  send(text: string): void {
    this.socket.write(text);
  }

  /** Sends the parts so that each arrives by itself. */
  async sendApart(parts: readonly string[]): Promise<void> {
    this.socket.setNoDelay(true);
    for (const part of parts) {
      this.socket.write(part);
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  stopReading(): void {
    this.socket.pause();
  }

  /** Resolves once as many responses as given have been received. */
  async waitForResponses(count: number): Promise<void> {
    const isClosed = (): boolean => this.socket.destroyed;
    await until(() => this.statuses.length >= count || isClosed());
    if (this.statuses.length < count) throw new Error('closed by the server');
  }
}

/** Resolves once the condition holds. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve));
}

export function getText(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
}

export function postText(path: string, body: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

export function chunkedText(path: string, chunks: readonly string[]): string {
  const parts = [...chunks, ''].map(
    chunk => `${Buffer.byteLength(chunk).toString(16)}\r\n${chunk}\r\n`,
  );
  return `POST ${path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${parts.join('')}`;
}

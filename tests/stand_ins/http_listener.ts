import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

export type HttpHandler = (
  request: IncomingMessage,
  body: Buffer,
  response: ServerResponse,
) => void;

export interface HttpListenerOptions {
  readonly handle: HttpHandler;
  readonly maximumConnections?: number;
}

/** An HTTP server that buffers request bodies and can close immediately. */
export class HttpListener {
  readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(options: HttpListenerOptions) {
    this.server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('error', () => response.destroy());
      request.on('end', () =>
        options.handle(request, Buffer.concat(chunks), response),
      );
    });
    this.server.keepAliveTimeout = 0;
    this.server.maxConnections = options.maximumConnections ?? Infinity;
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Listens on HOST:PORT and resolves to the address. */
  listen(address = '127.0.0.1:0'): Promise<string> {
    const [host, port] = address.split(':');
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, () => {
        const bound = this.server.address() as AddressInfo;
        resolve(`${bound.address}:${bound.port}`);
      });
    });
  }

  /** Destroys all connections and stops listening. */
  close(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.destroyConnections();
    return closed;
  }

  destroyConnections(options: {except?: Socket} = {}): void {
    for (const socket of [...this.sockets]) {
      if (socket !== options.except) socket.destroy();
    }
  }
}

export function replyJson(
  response: ServerResponse,
  status: number,
  value: object,
  headers: Readonly<Record<string, string>> = {},
): void {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    ...headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

export function parseJson<Value>(body: Buffer): Value {
  return JSON.parse(body.length === 0 ? '{}' : body.toString()) as Value;
}

import {createServer} from 'node:http';
import type {
  IncomingMessage,
  Server,
  ServerOptions,
  ServerResponse,
} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {CallPacer} from './call_pacer.js';
import {ConnectionTable} from './connection_table.js';
import {DEFAULT_LISTENER_LIMITS} from './listener_limits.js';
import type {ListenerLimits} from './listener_limits.js';
import type {ListenerMonitor} from './listener_monitor.js';
import {PacedSocket} from './paced_socket.js';
import {RequestBodies} from './request_bodies.js';
import {sendResponse} from './send_response.js';

/** How often connections are checked for clients that take no response. */
const CHECK_INTERVAL_MILLIS = 500;
/** Time for the headers of a call to arrive. */
export const DEFAULT_HEADERS_TIMEOUT_MILLIS = 10_000;
/** Time for a whole call to arrive. */
export const DEFAULT_REQUEST_TIMEOUT_MILLIS = 60_000;

export interface HttpListenerOptions {
  /** Responds to a call; resolves when it has ended its work for the call. */
  readonly handle: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Promise<void> | void;
  readonly limits?: Partial<ListenerLimits>;
  /** Options of Node's HTTP server. */
  readonly server?: ServerOptions;
  /** Counts and logs what the limits refuse. */
  readonly monitor?: ListenerMonitor;
}

/**
 * An HTTP/1.1 server whose connections, calls and bodies are bounded together.
 * It takes in no more than it processes, and lets connections take turns.
 */
export class HttpListener {
  /** Node's server, for the events that its users need. */
  readonly server: Server;
  readonly connections: ConnectionTable;
  readonly bodies: RequestBodies;
  private readonly pacer: CallPacer;
  private readonly limits: ListenerLimits;
  private checkTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: HttpListenerOptions) {
    this.limits = {...DEFAULT_LISTENER_LIMITS, ...options.limits};
    const {callBytes, bodyBytes, connections, unsentMillis} = this.limits;
    this.pacer = new CallPacer(callBytes);
    this.bodies = new RequestBodies(bodyBytes, () =>
      this.options.monitor?.recordBodyGivenUp(),
    );
    this.connections = new ConnectionTable({
      maximumConnections: connections,
      unsentMillis,
    });
    this.server = createServer(
      {
        headersTimeout: DEFAULT_HEADERS_TIMEOUT_MILLIS,
        requestTimeout: DEFAULT_REQUEST_TIMEOUT_MILLIS,
        ...options.server,
        // No input is read before the input that was read is processed.
        highWaterMark: 0,
      },
      (request, response) => this.respond(request, response),
    );
    this.server.on('checkExpectation', (request, response) =>
      this.respond(request, response),
    );
    this.replaceConnectionListener();
  }

  /** Listens and resolves to the port; port 0 selects a free one. */
  listen(host: string, port: number): Promise<number> {
    this.checkTimer = setInterval(
      () => this.checkConnections(),
      CHECK_INTERVAL_MILLIS,
    ).unref();
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /**
   * Resolves once all connections have ended. Calls close() of net.Server, as
   * that of http.Server destroys idle connections.
   */
  stopListening(): Promise<void> {
    return new Promise(resolve => {
      NetServer.prototype.close.call(this.server, () => {
        clearInterval(this.checkTimer);
        resolve();
      });
    });
  }

  /** Stops listening and closes idle connections. */
  close(): void {
    clearInterval(this.checkTimer);
    this.server.close();
    this.server.closeIdleConnections();
  }

  closeAllConnections(): void {
    this.server.closeAllConnections();
  }

  /** Lets Node's server parse a paced stream in place of the connection. */
  private replaceConnectionListener(): void {
    const [parse] = this.server.listeners('connection');
    this.server.removeAllListeners('connection');
    this.server.on('connection', (socket: Socket) => {
      const wasFull = this.connections.size >= this.limits.connections;
      const hasRoom = this.connections.makeRoom();
      if (wasFull) this.options.monitor?.recordFull(hasRoom);
      if (!hasRoom) {
        socket.destroy();
        return;
      }
      const paced = new PacedSocket(socket, {
        pacer: this.pacer,
        maximumCalls: this.limits.callsPerConnection,
      });
      this.connections.add(paced);
      parse.call(this.server, paced);
    });
  }

  private respond(request: IncomingMessage, response: ServerResponse): void {
    const connection = request.socket as unknown as PacedSocket;
    const call = connection.beginCall(request);
    response.once('close', () => call.markSent());
    if (connection.writableEnded) {
      // Reads the remaining data, so that the connection can end.
      request.resume();
      call.markSent();
      call.markHandled();
      return;
    }
    void this.handle(request, response).then(() => {
      call.markHandled();
      this.connections.recordUse(connection);
    });
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await this.options.handle(request, response);
    } catch (error) {
      if (response.headersSent) response.destroy(error as Error);
      else sendResponse(request, response, {status: 500});
    }
  }

  private checkConnections(): void {
    const closed = this.connections.closeStalled(this.pacer.isFull);
    if (closed > 0) this.options.monitor?.recordStalled(closed);
  }
}

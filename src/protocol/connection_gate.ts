import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/** Length of the text with which each HTTP/2 client begins. */
const PREFACE_BYTES = 24;
const DEFAULT_SILENT_MILLIS = 10_000;

export interface ConnectionGateOptions {
  readonly maximumConnections: number;
  readonly onConnection: (socket: Socket) => void;
  /** Called for a connection beyond the maximum, with whether one made room. */
  readonly onFull?: (hasRoom: boolean) => void;
  /** Clients that have not begun to speak HTTP/2 after this are closed. */
  readonly silentMillis?: number;
}

/**
 * Accepts connections up to a maximum. A connection whose client has not spoken
 * yet makes room for a new one; those of other processes stay.
 */
export class ConnectionGate {
  private readonly server: Server;
  private readonly connections = new Set<Socket>();
  /** Connections whose clients have not spoken yet, the oldest first. */
  private readonly silent = new Set<Socket>();

  constructor(private readonly options: ConnectionGateOptions) {
    this.server = createServer({allowHalfOpen: true, noDelay: true}, socket =>
      this.accept(socket),
    );
  }

  /** Listens on HOST:PORT and resolves to the port; 0 selects a free one. */
  listen(address: string): Promise<number> {
    const {hostname, port} = new URL(`http://${address}`);
    const host = hostname.replace(/^\[|\]$/g, '');
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Accepts no more connections; those that are open stay. */
  close(): void {
    this.server.close();
  }

  private accept(socket: Socket): void {
    const {maximumConnections, onConnection, onFull} = this.options;
    socket.on('error', () => socket.destroy());
    if (this.connections.size >= maximumConnections) {
      const hasRoom = this.closeSilent();
      onFull?.(hasRoom);
      if (!hasRoom) {
        socket.destroy();
        return;
      }
    }
    this.watch(socket);
    onConnection(socket);
  }

  private watch(socket: Socket): void {
    const {silentMillis = DEFAULT_SILENT_MILLIS} = this.options;
    const timer = setTimeout(() => {
      this.silent.delete(socket);
      if (isSilent(socket)) socket.destroy();
    }, silentMillis);
    timer.unref();
    this.connections.add(socket);
    this.silent.add(socket);
    socket.once('close', () => {
      clearTimeout(timer);
      this.connections.delete(socket);
      this.silent.delete(socket);
    });
  }

  /** Closes the connection that has been silent for longest. */
  private closeSilent(): boolean {
    for (const socket of this.silent) {
      this.silent.delete(socket);
      if (!isSilent(socket)) continue;
      this.connections.delete(socket);
      socket.destroy();
      return true;
    }
    return false;
  }
}

function isSilent(socket: Socket): boolean {
  return socket.bytesRead < PREFACE_BYTES;
}

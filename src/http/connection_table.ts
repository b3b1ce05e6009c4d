import type {PacedSocket} from './paced_socket.js';

/** Under pressure, clients that took no byte for so long are disconnected. */
const STALLED_MILLIS = 1_000;

export interface ConnectionTableOptions {
  readonly maximumConnections: number;
  /** A client that takes no byte of its responses for so long is closed. */
  readonly unsentMillis: number;
}

/**
 * The open connections of a listener. If there is no room for a new one, the
 * one whose client has been idle for longest is closed.
 */
export class ConnectionTable {
  /** All connections; those that used theirs last come last. */
  private readonly connections = new Set<PacedSocket>();

  constructor(private readonly options: ConnectionTableOptions) {}

  get size(): number {
    return this.connections.size;
  }

  /** Closes a connection if there is no room; false if none may be closed. */
  makeRoom(): boolean {
    if (this.connections.size < this.options.maximumConnections) return true;
    const now = performance.now();
    for (const connection of this.connections) {
      const isStalled = stalledMillis(connection, now) > STALLED_MILLIS;
      if (connection.isProcessing && !isStalled) continue;
      this.close(connection);
      return true;
    }
    return false;
  }

  add(connection: PacedSocket): void {
    this.connections.add(connection);
    connection.once('close', () => this.connections.delete(connection));
  }

  /** Records that a call of the connection has ended. */
  recordUse(connection: PacedSocket): void {
    if (this.connections.delete(connection)) this.connections.add(connection);
  }

  /**
   * Closes connections whose clients take no response; returns their number.
   * Those that wait for room for their calls don't wait for such clients long.
   */
  closeStalled(isFull: boolean): number {
    const {unsentMillis} = this.options;
    const limitMillis = isFull ? STALLED_MILLIS : unsentMillis;
    const now = performance.now();
    let closed = 0;
    for (const connection of this.connections) {
      if (stalledMillis(connection, now) <= limitMillis) continue;
      this.close(connection);
      closed++;
    }
    return closed;
  }

  /** Ends the idle connections that have carried a call. */
  endIdleUsed(): void {
    for (const connection of this.connections) {
      if (connection.isUsed && !connection.isBusy) connection.end();
    }
  }

  /** Ends all idle connections, including those that have carried no call. */
  endIdle(): void {
    for (const connection of this.connections) {
      if (!connection.isBusy) connection.end();
    }
  }

  private close(connection: PacedSocket): void {
    this.connections.delete(connection);
    connection.destroy();
  }
}

function stalledMillis(connection: PacedSocket, now: number): number {
  return connection.hasUnsentOutput ? now - connection.progressAt : 0;
}

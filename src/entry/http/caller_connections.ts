import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

interface ConnectionState {
  /** Calls whose response has not been written yet. */
  openCalls: number;
  /** Bytes received by the time the last response was written. */
  bytesReadWhenIdle: number;
}

/**
 * The connections of callers, and which of them carry a call. Idle connections
 * are half-closed: the server ends its side and continues to read. Destroying a
 * connection while a call is in transit would reset it.
 */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>();

  constructor(server: Server) {
    server.on('connection', socket => this.add(socket));
  }

  /** Counts a call; false if its connection can no longer send a response. */
  beginCall(request: IncomingMessage, response: ServerResponse): boolean {
    const {socket} = request;
    const state = this.states.get(socket);
    if (!state || socket.writableEnded) return false;
    state.openCalls++;
    response.once('close', () => {
      state.openCalls--;
      state.bytesReadWhenIdle = socket.bytesRead;
    });
    return true;
  }

  /** Ends the idle connections that have carried a call. */
  endIdleUsed(): void {
    for (const [socket, state] of this.states) {
      if (state.bytesReadWhenIdle > 0 && isIdle(socket, state)) socket.end();
    }
  }

  /** Ends all idle connections, including those that have carried no call. */
  endIdle(): void {
    for (const [socket, state] of this.states) {
      if (isIdle(socket, state)) socket.end();
    }
  }

  private add(socket: Socket): void {
    this.states.set(socket, {openCalls: 0, bytesReadWhenIdle: 0});
    socket.once('close', () => this.states.delete(socket));
  }
}

function isIdle(socket: Socket, state: ConnectionState): boolean {
  return state.openCalls === 0 && socket.bytesRead === state.bytesReadWhenIdle;
}

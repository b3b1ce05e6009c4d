import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

interface ConnectionState {
  /** Calls whose answer has not been written yet. */
  openCalls: number;
  /** Bytes received when the last answer was written. */
  bytesAtRest: number;
}

/**
 * The connections of callers, and which of them carry a call. Closing those at
 * rest sends the end of the stream but goes on reading, since destroying one
 * while a call is on its way would answer that call with a reset.
 */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>();

  constructor(server: Server) {
    server.on('connection', socket => this.add(socket));
  }

  /** Notes a call; false when its connection takes no answer any more. */
  begin(request: IncomingMessage, response: ServerResponse): boolean {
    const {socket} = request;
    const state = this.states.get(socket);
    if (!state || socket.writableEnded) return false;
    state.openCalls++;
    response.once('close', () => {
      state.openCalls--;
      state.bytesAtRest = socket.bytesRead;
    });
    return true;
  }

  /** Ends the connections that have answered calls and carry none now. */
  endUsed(): void {
    for (const [socket, state] of this.states) {
      if (state.bytesAtRest > 0 && isAtRest(socket, state)) socket.end();
    }
  }

  /** Ends those that have carried no call either. */
  endUnused(): void {
    for (const [socket, state] of this.states) {
      if (isAtRest(socket, state)) socket.end();
    }
  }

  private add(socket: Socket): void {
    this.states.set(socket, {openCalls: 0, bytesAtRest: 0});
    socket.once('close', () => this.states.delete(socket));
  }
}

function isAtRest(socket: Socket, state: ConnectionState): boolean {
  return state.openCalls === 0 && socket.bytesRead === state.bytesAtRest;
}

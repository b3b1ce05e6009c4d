import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/** Passes TCP connections on to one address and counts the bytes both ways. */
export class CountingRelay {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private total = 0;

  constructor(target: string) {
    const [host, port] = target.split(':');
    this.server = createServer(near => {
      const far = connect(Number(port), host);
      this.join(near, far);
      this.join(far, near);
    });
  }

  /** Bytes passed on so far, in both directions together. */
  get bytes(): number {
    return this.total;
  }

  /** Resolves to the address that it listens on. */
  listen(): Promise<string> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', () => {
        const {port} = this.server.address() as AddressInfo;
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private join(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('data', (data: Buffer) => {
      this.total += data.length;
      to.write(data);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}

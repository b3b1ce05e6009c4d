import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';

const FIRST_SECOND_PART = 64;

/**
 * Loopback addresses that were free a moment ago, all different. They are on a
 * host of this process alone, so that nothing else takes them meanwhile: not
 * another process that looks for free ports, nor an outgoing connection.
 */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const host = loopbackHostOf(process.pid);
  const servers: Server[] = [];
  for (let index = 0; index < count; index++) servers.push(await listen(host));
  const addresses = servers.map(
    server => `${host}:${(server.address() as AddressInfo).port}`,
  );
  await Promise.all(servers.map(close));
  return addresses;
}

/** A host of 127.0.0.0/8 for a process id, of which Linux has up to 2^22. */
export function loopbackHostOf(processId: number): string {
  const [low, middle, high] = [0, 8, 16].map(
    shift => (processId >> shift) % 256,
  );
  return `127.${FIRST_SECOND_PART + high}.${middle}.${low}`;
}

function listen(host: string): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}

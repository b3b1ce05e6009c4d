import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';

/** Loopback addresses that were free a moment ago, all different. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const servers: Server[] = [];
  for (let index = 0; index < count; index++) servers.push(await listen());
  const addresses = servers.map(
    server => `127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
  await Promise.all(servers.map(close));
  return addresses;
}

function listen(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}

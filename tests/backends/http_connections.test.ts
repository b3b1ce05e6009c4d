import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {HttpConnections} from '../../src/backends/http_connections.js';

const CALL = {
  method: 'GET',
  path: '/',
  headers: [],
  body: '',
  timeoutMillis: 5_000,
};

/** Starts a server that answers every call. */
async function startServer(
  t: ExecutionContext,
): Promise<{server: Server; address: string; closed: Promise<void>}> {
  const server = createServer((_request, response) => response.end());
  const closed = new Promise<void>(resolve => {
    server.on('connection', (socket: Socket) => socket.on('close', resolve));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {server, address: `127.0.0.1:${port}`, closed};
}

// A worker's session takes an ended connection for a possible restart, and holds
// starts back until the worker has answered again.
test('should not count idle connections that it closes itself', async t => {
  const {address, closed} = await startServer(t);
  const connections = new HttpConnections({address, idleMillis: 10});
  await connections.call(CALL);
  await closed;
  await new Promise(setImmediate);
  t.is(connections.endedConnections, 0);
  connections.close('test');
});

test('should count connections that the server closes', async t => {
  const {server, address, closed} = await startServer(t);
  const connections = new HttpConnections({address});
  await connections.call(CALL);
  server.closeAllConnections();
  await closed;
  while (connections.endedConnections === 0) await new Promise(setImmediate);
  t.is(connections.endedConnections, 1);
  connections.close('test');
});

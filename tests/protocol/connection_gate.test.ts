import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {ConnectionGate} from '../../src/protocol/connection_gate.js';

const HOST = '127.0.0.1';
const PREFACE = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n';

interface GateFixture {
  readonly accepted: Socket[];
  readonly full: boolean[];
  open(): Promise<Socket>;
}

async function openGate(
  t: ExecutionContext,
  silentMillis?: number,
): Promise<GateFixture> {
  const accepted: Socket[] = [];
  const full: boolean[] = [];
  const gate = new ConnectionGate({
    maximumConnections: 2,
    onConnection: socket => accepted.push(socket.resume()),
    onFull: hasRoom => full.push(hasRoom),
    silentMillis,
  });
  const port = await gate.listen(`${HOST}:0`);
  const clients: Socket[] = [];
  t.teardown(() => {
    gate.close();
    for (const client of clients) client.destroy();
  });
  const open = async (): Promise<Socket> => {
    const client = connect({host: HOST, port});
    client.resume();
    clients.push(client);
    client.on('error', () => client.destroy());
    await once(client, 'connect');
    return client;
  };
  return {accepted, full, open};
}

test('should close the connection that has been silent for longest', async t => {
  const gate = await openGate(t);
  const first = await gate.open();
  const second = await gate.open();
  const closed = once(first, 'close');
  await gate.open();
  await closed;
  t.false(second.destroyed);
  t.deepEqual(gate.full, [true]);
});

// Guards against a process that loses its connection to one that says nothing.
test('should keep connections that have spoken', async t => {
  const gate = await openGate(t);
  const peers = [await gate.open(), await gate.open()];
  for (const peer of peers) peer.write(PREFACE);
  const hasSpoken = (): boolean =>
    gate.accepted.every(socket => socket.bytesRead >= PREFACE.length);
  while (gate.accepted.length < 2 || !hasSpoken()) {
    await new Promise(resolve => setImmediate(resolve));
  }
  const refused = await gate.open();
  await once(refused, 'close');
  t.true(peers.every(peer => !peer.destroyed));
  t.deepEqual(gate.full, [false]);
});

test('should close a connection that stays silent', async t => {
  const gate = await openGate(t, 50);
  const client = await gate.open();
  await once(client, 'close');
  t.pass();
});

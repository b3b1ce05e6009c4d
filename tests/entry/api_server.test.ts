import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {promisify} from 'node:util';
import test from 'ava';
import {ApiServer} from '../../src/entry/http/api_server.js';
import {jsonResponse} from '../../src/entry/http/api_types.js';

const nextTick = promisify(process.nextTick);
const CALL = 'GET /v1/health HTTP/1.1\r\nhost: entry\r\n\r\n';

const MEBIBYTE = 1024 * 1024;

class ServerFixture {
  calls = 0;
  private port = 0;
  private readonly server = new ApiServer(
    async () => {
      this.calls++;
      return jsonResponse({});
    },
    {bodyLimitBytes: 1_000},
  );

  static async start(): Promise<ServerFixture> {
    const fixture = new ServerFixture();
    fixture.port = await fixture.server.listen('127.0.0.1', 0);
    return fixture;
  }

  open(): CallerConnection {
    const options = {port: this.port, host: '127.0.0.1', allowHalfOpen: true};
    return new CallerConnection(connect(options));
  }

  async connect(): Promise<CallerConnection> {
    const connection = this.open();
    await connection.opened;
    return connection;
  }

  drain(): void {
    this.server.drain();
  }

  close(): Promise<void> {
    return this.server.close();
  }
}

class CallerConnection {
  readonly opened: Promise<unknown>;
  /** Resolves when the server ends its side; rejects on a reset. */
  readonly ended: Promise<unknown>;
  private received = '';

  constructor(private readonly socket: Socket) {
    this.opened = once(socket, 'connect');
    this.ended = once(socket, 'end');
    this.opened.catch(() => undefined);
    this.ended.catch(() => undefined);
    socket.setEncoding('utf8');
    socket.on('data', (text: string) => (this.received += text));
  }

  send(): void {
    this.socket.write(CALL);
  }

  async call(): Promise<void> {
    this.send();
    await once(this.socket, 'data');
  }

  /** Resolves to the number of responses before the server ended its side. */
  async countResponses(): Promise<number> {
    await this.ended;
    this.socket.end();
    return this.received.split('HTTP/1.1 200').length - 1;
  }
}

test('should respond to a call on an idle connection while it drains', async t => {
  const server = await ServerFixture.start();
  const connection = await server.connect();
  await connection.call();
  server.drain();
  connection.send();
  t.is(await connection.countResponses(), 2);
  await server.close();
});

test('should respond to a call that has arrived but is unread when it closes', async t => {
  const server = await ServerFixture.start();
  const connection = await server.connect();
  await connection.call();
  connection.send();
  const closed = server.close();
  t.is(await connection.countResponses(), 2);
  await closed;
});

test('should respond to a call on a connection not yet accepted when it closes', async t => {
  const server = await ServerFixture.start();
  const connection = server.open();
  connection.send();
  await nextTick();
  const closed = server.close();
  t.is(await connection.countResponses(), 1);
  await closed;
});

test('should not run a call that arrives when its response can not be sent', async t => {
  const server = await ServerFixture.start();
  const connection = await server.connect();
  await connection.call();
  const closed = server.close();
  await connection.ended;
  connection.send();
  t.is(await connection.countResponses(), 1);
  await closed;
  t.is(server.calls, 1);
});

test('should end idle connections when it closes', async t => {
  const server = await ServerFixture.start();
  const used = await server.connect();
  await used.call();
  const unused = await server.connect();
  const closed = server.close();
  t.is(await used.countResponses(), 1);
  t.is(await unused.countResponses(), 0);
  await closed;
});

// Guards against a body inside a large limit that is given up for a small one.
test('should receive two bodies of the largest size at once', async t => {
  const length = 20 * MEBIBYTE;
  const received: number[] = [];
  const server = new ApiServer(
    async ({body}) => {
      received.push(body.byteLength);
      return jsonResponse({});
    },
    {bodyLimitBytes: length},
  );
  const port = await server.listen('127.0.0.1', 0);
  const send = (): Promise<Response> =>
    fetch(`http://127.0.0.1:${port}/`, {
      method: 'POST',
      body: Buffer.alloc(length),
    });
  const responses = await Promise.all([send(), send()]);
  t.deepEqual(
    responses.map(({status}) => status),
    [200, 200],
  );
  t.deepEqual(received, [length, length]);
  await server.close();
});

import type {IncomingMessage} from 'node:http';
import test from 'ava';
import fc from 'fast-check';
import type {HttpListener} from '../../src/http/http_listener.js';
import {CALL_OVERHEAD_BYTES} from '../../src/http/listener_limits.js';
import {sendResponse} from '../../src/http/send_response.js';
import {
  chunkedText,
  getText,
  openListener,
  postText,
  RawClient,
  until,
} from './listener_fixture.js';

const SEED = 44;
const RUNS = 60;
const MEBIBYTE = 1024 * 1024;

/** Returns the path and the body of a call as the body of its response. */
async function echo(
  listener: HttpListener,
  request: IncomingMessage,
): Promise<string> {
  return listener.bodies.use(
    request,
    MEBIBYTE,
    body => `<${request.url} ${body.toString('utf8')}>`,
  );
}

// Guards against the opposite fault: a client that sends a few requests ahead.
test('should answer requests sent ahead in order', async t => {
  const delays = [20, 0, 5, 1, 0, 10, 0, 3];
  const {port} = await openListener(t, {
    handle: async (request, response) => {
      const index = Number(request.url?.slice(1));
      const delay = delays[index % delays.length];
      await new Promise(resolve => setTimeout(resolve, delay));
      sendResponse(request, response, {status: 200, body: `<${index}>`});
    },
  });
  const client = await RawClient.open(t, port);
  const indexes = Array.from({length: 50}, (_, index) => index);
  client.send(indexes.map(index => getText(`/${index}`)).join(''));
  await client.waitForResponses(indexes.length);
  const bodies = [...client.received.matchAll(/<(\d+)>/g)];
  t.deepEqual(
    bodies.map(([, index]) => Number(index)),
    indexes,
  );
});

// Guards against the opposite fault: a balancer's connection with many calls.
test('should keep a connection on which many calls follow each other', async t => {
  const {port} = await openListener(t, {
    handle: (request, response) =>
      sendResponse(request, response, {status: 200}),
  });
  const client = await RawClient.open(t, port);
  for (let calls = 1; calls <= 300; calls++) {
    client.send(getText('/'));
    await client.waitForResponses(calls);
  }
  t.true(client.statuses.every(status => status === 200));
});

const segment = fc.stringMatching(/^[a-z]{1,12}$/);
const call = fc.oneof(
  segment.map(path => ({text: getText(`/${path}`), echo: `</${path} >`})),
  fc.tuple(segment, fc.string({maxLength: 60})).map(([path, body]) => ({
    text: postText(`/${path}`, body),
    echo: `</${path} ${body}>`,
  })),
  fc
    .tuple(segment, fc.array(fc.string({minLength: 1, maxLength: 9})))
    .map(([path, chunks]) => ({
      text: chunkedText(`/${path}`, chunks),
      echo: `</${path} ${chunks.join('')}>`,
    })),
);

// Guards against calls that are lost or mixed up where their input is cut.
test('should serve calls however their input is cut', async t => {
  const {listener, port} = await openListener(t, {
    handle: async (request, response) => {
      const body = await echo(listener, request);
      sendResponse(request, response, {status: 200, body});
    },
  });
  const property = fc.asyncProperty(
    fc.array(call, {minLength: 1, maxLength: 30}),
    fc.array(fc.integer({min: 1, max: 40}), {minLength: 1, maxLength: 8}),
    async (calls, sizes) => {
      const client = await RawClient.open(t, port);
      const text = calls.map(each => each.text).join('');
      await client.sendApart(cut(text, sizes));
      await client.waitForResponses(calls.length);
      const expected = calls.map(each => each.echo);
      await until(() => client.received.endsWith(expected.at(-1)!));
      let position = 0;
      for (const body of expected) {
        position = client.received.indexOf(body, position);
        if (position < 0) return false;
        position += body.length;
      }
      return true;
    },
  );
  await fc.assert(property, {seed: SEED, numRuns: RUNS});
  t.pass();
});

function cut(text: string, sizes: readonly number[]): string[] {
  const parts: string[] = [];
  let start = 0;
  for (let index = 0; start < text.length; index++) {
    const end = start + sizes[index % sizes.length];
    parts.push(text.slice(start, end));
    start = end;
  }
  return parts;
}

// Guards against a process that takes in more calls than it can hold.
test('should begin only as many calls of a connection as its limit', async t => {
  let begun = 0;
  const {listener, port} = await openListener(t, {
    handle: () => {
      begun++;
      return new Promise(() => {});
    },
    limits: {callsPerConnection: 5},
  });
  const client = await RawClient.open(t, port);
  client.send(getText('/').repeat(3_000));
  await until(() => begun === 5);
  await settle();
  t.is(begun, 5);
  t.is(listener.connections.size, 1);
});

test('should begin only as many calls of all connections as their limit', async t => {
  let begun = 0;
  const {port} = await openListener(t, {
    handle: () => {
      begun++;
      return new Promise(() => {});
    },
    limits: {callBytes: 10 * CALL_OVERHEAD_BYTES},
  });
  for (let index = 0; index < 20; index++) {
    const client = await RawClient.open(t, port);
    client.send(getText('/').repeat(100));
  }
  await settle();
  t.is(begun, 10);
});

/** Lets the event loop go round until everything that can happen has. */
async function settle(): Promise<void> {
  for (let round = 0; round < 200; round++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

// Guards against one connection that keeps the event loop to itself.
test('should serve a connection while another one sends without end', async t => {
  const {port} = await openListener(t, {
    handle: (request, response) =>
      sendResponse(request, response, {status: 200}),
  });
  const busy = await RawClient.open(t, port);
  const sent = 20_000;
  busy.send(getText('/').repeat(sent));
  await busy.waitForResponses(1);
  const other = await RawClient.open(t, port);
  other.send(getText('/'));
  await other.waitForResponses(1);
  t.true(busy.statuses.length < sent);
  await busy.waitForResponses(sent);
});

test('should receive a body of the largest size at once', async t => {
  const {listener, port} = await openListener(t, {
    handle: async (request, response) => {
      const body = await echo(listener, request);
      const length = String(body.length);
      sendResponse(request, response, {status: 200, body: `<${length}>`});
    },
  });
  const client = await RawClient.open(t, port);
  client.send(postText('/', 'a'.repeat(MEBIBYTE)) + getText('/next'));
  await client.waitForResponses(2);
  t.regex(client.received, /<1048580>[^]*<8>/);
});

// Guards against the opposite fault: a single call of the largest size.
test('should serve a call with the largest head and a large response', async t => {
  const response = 'a'.repeat(8 * MEBIBYTE);
  const {port} = await openListener(t, {
    handle: (request, reply) =>
      sendResponse(request, reply, {
        status: 200,
        headers: [['x-length', String(request.headers['x-long']?.length)]],
        body: response,
      }),
  });
  const client = await RawClient.open(t, port);
  client.send(
    `GET / HTTP/1.1\r\nHost: a\r\nX-Long: ${'b'.repeat(16_000)}\r\n\r\n`,
  );
  await client.waitForResponses(1);
  t.regex(client.received, /x-length: 16000/i);
  await until(() => client.received.length > response.length);
  await until(() => client.received.endsWith(`\r\n\r\n${response}`));
});

// Guards against memory that many slow bodies hold together.
test('should give up the largest body if all together are too large', async t => {
  const statuses: string[] = [];
  const {listener, port} = await openListener(t, {
    handle: async (request, response) => {
      try {
        await listener.bodies.use(request, MEBIBYTE, () => {});
        sendResponse(request, response, {status: 200});
      } catch (error) {
        statuses.push((error as Error).name);
        sendResponse(request, response, {status: 503});
      }
    },
    limits: {bodyBytes: 100_000},
  });
  const slow = await RawClient.open(t, port);
  slow.send(postText('/', 'a'.repeat(90_000)).slice(0, -1));
  await settle();
  const small = await RawClient.open(t, port);
  small.send(postText('/', 'a'.repeat(20_000)));
  await small.waitForResponses(1);
  await slow.waitForResponses(1);
  t.deepEqual(small.statuses, [200]);
  t.deepEqual(slow.statuses, [503]);
  t.deepEqual(statuses, ['BodyBudgetError']);
});

// Guards against a reset that destroys the refusal while a body is being sent.
test('should let a client read the refusal of a body it still sends', async t => {
  const {port} = await openListener(t, {
    handle: (request, response) =>
      sendResponse(request, response, {status: 413, body: 'too large'}),
  });
  const client = await RawClient.open(t, port);
  client.send(postText('/', 'a'.repeat(4 * MEBIBYTE)));
  await client.waitForResponses(1);
  await client.closed;
  t.regex(client.received, /connection: close[^]*too large$/i);
});

test('should close the longest idle connection for a new one', async t => {
  const {port} = await openListener(t, {
    handle: (request, response) =>
      sendResponse(request, response, {status: 200}),
    limits: {connections: 2},
  });
  const first = await RawClient.open(t, port);
  const second = await RawClient.open(t, port);
  first.send(getText('/'));
  await first.waitForResponses(1);
  const third = await RawClient.open(t, port);
  await second.closed;
  third.send(getText('/'));
  first.send(getText('/'));
  await Promise.all([third.waitForResponses(1), first.waitForResponses(2)]);
  t.deepEqual(second.statuses, []);
});

// Guards against a call that runs and whose connection is closed for a new one.
test('should refuse a connection while all others have a call that runs', async t => {
  const finish: Array<() => void> = [];
  const {port} = await openListener(t, {
    handle: async (request, response) => {
      await new Promise<void>(resolve => finish.push(resolve));
      sendResponse(request, response, {status: 200});
    },
    limits: {connections: 1},
  });
  const first = await RawClient.open(t, port);
  first.send(getText('/'));
  await until(() => finish.length === 1);
  const second = await RawClient.open(t, port);
  await second.closed;
  finish[0]();
  await first.waitForResponses(1);
  t.deepEqual(first.statuses, [200]);
});

test('should refuse a connection while a call runs and the next one is received', async t => {
  const finish: Array<() => void> = [];
  const {listener, port} = await openListener(t, {
    handle: async (request, response) => {
      await listener.bodies.use(request, MEBIBYTE, async () => {
        await new Promise<void>(resolve => finish.push(resolve));
      });
      sendResponse(request, response, {status: 200});
    },
    limits: {connections: 1},
  });
  const first = await RawClient.open(t, port);
  first.send(getText('/') + postText('/', 'body').slice(0, -1));
  await until(() => finish.length === 1);
  await settle();
  const second = await RawClient.open(t, port);
  await second.closed;
  finish[0]();
  await first.waitForResponses(1);
  t.deepEqual(first.statuses, [200]);
});

test('should close a connection whose client takes no response', async t => {
  const {listener, port} = await openListener(t, {
    handle: (request, response) =>
      sendResponse(request, response, {
        status: 200,
        body: 'a'.repeat(MEBIBYTE),
      }),
    limits: {unsentMillis: 100},
  });
  const client = await RawClient.open(t, port);
  client.stopReading();
  client.send(getText('/').repeat(200));
  await until(() => listener.connections.size === 1);
  await until(() => listener.connections.size === 0);
  t.pass();
});

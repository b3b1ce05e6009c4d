import {connect} from 'node:net';
import test from 'ava';
import {ApiServer} from '../../src/entry/http/api_server.js';
import {jobStatus, startEntry} from './entry_fixture.js';

const LIMIT_MILLIS = 300;
const BYTE_EVERY_MILLIS = 20;
const HEAD = 'POST /v1/teams/depot/jobs HTTP/1.1\r\nhost: entry\r\n';
const CASES: ReadonlyArray<{what: string; atOnce: string; trickle: string}> = [
  {what: 'headers', atOnce: '', trickle: `${HEAD}x-long: ${'a'.repeat(999)}`},
  {
    what: 'a body',
    atOnce: `${HEAD}content-length: 999\r\n\r\n`,
    trickle: '{"name":"slow"}'.padEnd(999),
  },
  {
    what: 'chunks',
    atOnce: `${HEAD}transfer-encoding: chunked\r\n\r\n`,
    trickle: '1\r\na\r\n'.repeat(200),
  },
  {
    what: 'nothing more',
    atOnce: `${HEAD}content-length: 9\r\n\r\n`,
    trickle: '',
  },
];

/** Sends byte by byte; resolves to all that came back before the end. */
function trickleTo(port: number, first: string, rest: string): Promise<string> {
  return new Promise(resolve => {
    let received = '';
    let sent = 0;
    const socket = connect(port, '127.0.0.1');
    socket.write(first);
    const timer = setInterval(() => {
      if (sent < rest.length) socket.write(rest[sent++]);
    }, BYTE_EVERY_MILLIS);
    socket.on('data', chunk => (received += String(chunk)));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearInterval(timer);
      resolve(received);
    });
  });
}

for (const {what, atOnce, trickle} of CASES) {
  test(`should answer a caller that sends ${what} too slowly`, async t => {
    const entry = await startEntry();
    const server = new ApiServer(call => entry.call(call), {
      bodyLimitBytes: 20_000,
      headersTimeoutMillis: LIMIT_MILLIS,
      requestTimeoutMillis: LIMIT_MILLIS,
      connectionCheckMillis: BYTE_EVERY_MILLIS,
    });
    const port = await server.listen('127.0.0.1', 0);
    const answer = await trickleTo(port, atOnce, trickle);
    t.regex(answer, /^HTTP\/1\.1 408 [^]*x-result-code: 105[^]*"code":105/);
    t.is(await jobStatus(entry, 'GET', 'slow'), 404);
    t.is(await jobStatus(entry, 'POST', 'later'), 201);
    await server.close();
    await entry.stop('the test ends');
    entry.dispose('the test ends');
  });
}

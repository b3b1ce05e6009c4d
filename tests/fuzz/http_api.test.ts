import {connect} from 'node:net';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import fc from 'fast-check';
import {ApiServer} from '../../src/entry/http/api_server.js';
import {ResultCodes} from '../../src/observability/result_codes.js';
import {requests, submissions} from './drawn_requests.js';
import {jobStatus, startEntry} from './entry_fixture.js';
import {serveRounds} from './live_upstream.js';

const BODY_LIMIT_BYTES = 20_000;
const KEEP_ALIVE_MILLIS = 5_000;
const CODES = new Map(
  Object.values(ResultCodes).map(code => [code.number, code]),
);

class HttpFixture {
  private constructor(
    readonly entry: Awaited<ReturnType<typeof startEntry>>,
    private readonly server: ApiServer,
    private readonly port: number,
  ) {}

  static async start(t: ExecutionContext): Promise<HttpFixture> {
    const entry = await startEntry();
    const server = new ApiServer(call => entry.call(call), {
      bodyLimitBytes: BODY_LIMIT_BYTES,
      keepAliveMillis: KEEP_ALIVE_MILLIS,
    });
    const fixture = new HttpFixture(
      entry,
      server,
      await server.listen('127.0.0.1', 0),
    );
    t.is(await jobStatus(entry, 'POST', 'kept'), 201);
    return fixture;
  }

  /** Sends bytes as they are; resolves to all that came back. */
  send(bytes: string, options: {cut?: boolean} = {}): Promise<string> {
    return new Promise(resolve => {
      let received = '';
      const socket = connect(this.port, '127.0.0.1');
      socket.setEncoding('latin1');
      socket.on('data', (text: string) => (received += text));
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(received));
      socket.write(bytes, 'latin1', () => {
        if (options.cut) socket.destroy();
      });
    });
  }

  /** Checks that nothing was lost, and stops. */
  async finish(t: ExecutionContext): Promise<void> {
    t.is(await jobStatus(this.entry, 'GET', 'kept'), 200);
    const body = '{"name":"later"}';
    const answer = await this.send(message('POST', JOBS, {}, body));
    t.true(answer.startsWith('HTTP/1.1 201'), answer);
    await this.server.close();
    await this.entry.stop('the test ends');
    this.entry.dispose('the test ends');
  }
}

const JOBS = '/v1/teams/depot/jobs';

function message(
  method: string,
  path: string,
  headers: Readonly<Record<string, string>>,
  body: string,
): string {
  const bytes = Buffer.from(body).toString('latin1');
  const lines = [`${method} ${path} HTTP/1.1`, 'host: entry'];
  for (const [name, value] of Object.entries(headers)) {
    lines.push(`${name}: ${value}`);
  }
  lines.push('connection: close', `content-length: ${bytes.length}`);
  return `${lines.join('\r\n')}\r\n\r\n${bytes}`;
}

/** What is wrong with an answer; empty when it is whole and numbered. */
function faultOf(answer: string, method = ''): string {
  const [head, ...rest] = answer.split('\r\n\r\n');
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0);
  if (status >= 200 && status < 300) return '';
  const number = Number(/^x-result-code: (\d+)$/im.exec(head)?.[1] ?? 0);
  const code = CODES.get(number);
  if (!code || status === 500) return `not numbered: ${answer}`;
  if (code.httpStatus !== status) return `${status} for ${code.name}`;
  if (method === 'HEAD') return '';
  const body = JSON.parse(rest.join('\r\n\r\n')) as Record<string, unknown>;
  return body.code === number ? '' : `body has another code: ${answer}`;
}

test('should number the answer to any request', async t => {
  const fixture = await HttpFixture.start(t);
  const property = fc.asyncProperty(requests, async request => {
    const {method, path, headers, body} = request;
    const answer = await fixture.send(message(method, path, headers, body));
    const fault = faultOf(answer, method);
    if (fault) throw new Error(fault);
  });
  await fc.assert(property, {seed: 11, numRuns: 1_500});
  await fixture.finish(t);
});

test('should number the answer to any submission, and keep it', async t => {
  const fixture = await HttpFixture.start(t);
  const property = fc.asyncProperty(submissions, async body => {
    const answer = await fixture.send(message('POST', JOBS, {}, body));
    const fault = faultOf(answer);
    if (fault) throw new Error(fault);
    if (!/^HTTP\/1\.1 201/.test(answer)) return true;
    const {name} = JSON.parse(body) as {name: string};
    return (await jobStatus(fixture.entry, 'GET', name)) === 200;
  });
  await fc.assert(property, {seed: 12, numRuns: 1_000});
  await fixture.finish(t);
});

test('should tell the caller that a body is over the limit', async t => {
  const fixture = await HttpFixture.start(t);
  for (const factor of [1.01, 2, 50, 1_000]) {
    const body = 'a'.repeat(Math.ceil(BODY_LIMIT_BYTES * factor));
    const chunked =
      `POST ${JOBS} HTTP/1.1\r\nhost: entry\r\ntransfer-encoding: chunked` +
      `\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
    for (const bytes of [message('POST', JOBS, {}, body), chunked]) {
      const answer = await fixture.send(bytes);
      t.regex(answer, /^HTTP\/1\.1 413 [^]*"code":102/, `factor ${factor}`);
    }
  }
  await fixture.finish(t);
});

test('should outlive requests that are cut off anywhere', async t => {
  const fixture = await HttpFixture.start(t);
  const whole = message('POST', JOBS, {}, '{"name":"cut"}');
  for (let length = 0; length < whole.length; length++) {
    await fixture.send(whole.slice(0, length), {cut: true});
  }
  t.is(await jobStatus(fixture.entry, 'GET', 'cut'), 404);
  await fixture.finish(t);
});

test('should number the answer to what is not HTTP', async t => {
  const fixture = await HttpFixture.start(t);
  const end = '\r\n\r\n';
  const heads = [
    `CONNECT a:1 HTTP/1.1\r\nhost: a${end}`,
    `GET  HTTP/9.9${end}`,
    `GET / HTTP/1.1${end}`,
    `GET / HTTP/1.1\r\nhost: a\r\nx-long: ${'a'.repeat(40_000)}${end}`,
    `GET / HTTP/1.1\r\nhost: a\r\ncontent-length: -1${end}`,
    `POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked${end}zz\r\n`,
    `GET / HTTP/1.1\r\nhost: a\r\nx-request-id: \u0001${end}`,
    '\u0016\u0003\u0001\u0002\u0000\u0001\u0000\u0001\u00fc\u0003',
  ];
  for (const head of heads) t.is(faultOf(await fixture.send(head)), '', head);
  await fixture.finish(t);
});

test('should bring any service request its own answer, or a numbered one', async t => {
  const fixture = await HttpFixture.start(t);
  const standIn = await serveRounds(t, fixture.entry);
  const plain = message('GET', '/v1/services/rounds/x', {}, '');
  while (!/^HTTP\/1\.1 200/.test(await fixture.send(plain)));
  let answered = 0;
  const property = fc.asyncProperty(requests, async request => {
    const {method, headers, body} = request;
    const path = `/v1/services/rounds${request.path}`;
    const answer = await fixture.send(message(method, path, headers, body));
    const fault = faultOf(answer, method);
    if (fault) throw new Error(fault);
    const [head, text] = answer.split('\r\n\r\n', 2);
    if (!/^x-outcome: answered/im.test(head) || method === 'HEAD') return true;
    answered++;
    const own = /^x-request-id: (.*)$/im.exec(head)?.[1];
    const bytes = Buffer.from(text, 'latin1').toString();
    const said = JSON.parse(bytes) as {requestId: string; echo: string};
    const echo = Buffer.from(body).toString();
    return said.requestId === own && said.echo === echo;
  });
  await fc.assert(property, {seed: 13, numRuns: 500});
  t.true(answered > 100, `${answered} answered`);
  t.true(standIn.runs.length >= answered);
  await fixture.finish(t);
});

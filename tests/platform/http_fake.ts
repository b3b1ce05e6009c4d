import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {ExecutionContext} from 'ava';

/** A call that a fake server received. */
export interface RecordedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: unknown;
}

export interface FakeHttpResponse {
  readonly status: number;
  readonly body?: unknown;
}

/** Starts a server that sends the responses in order; none for undefined. */
export async function serveResponses(
  t: ExecutionContext,
  answers: Array<FakeHttpResponse | undefined>,
): Promise<{address: string; seen: RecordedCall[]}> {
  const seen: RecordedCall[] = [];
  const server = createServer((request, response) => {
    let text = '';
    request.on('data', (chunk: Buffer) => {
      text += chunk.toString('utf8');
    });
    request.on('end', () => {
      seen.push({
        method: request.method ?? '',
        path: request.url ?? '',
        headers: request.headers,
        body: text === '' ? undefined : JSON.parse(text),
      });
      const answer = answers.shift();
      if (!answer) return;
      response.writeHead(answer.status);
      response.end(JSON.stringify(answer.body ?? {}));
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, seen};
}

import {Client, credentials, status} from '@grpc/grpc-js';
import type {ServiceDefinition} from '@grpc/grpc-js';
import test from 'ava';
import fc from 'fast-check';
import {AgentMethods, EntryMethods} from '../../src/protocol/call_methods.js';
import {
  AgentServiceService,
  CallBatch,
  EntryServiceService,
  HeartbeatRequest,
  ReplyBatch,
} from '../../src/protocol/generated/burdockmoor.js';
import type {Call} from '../../src/protocol/generated/burdockmoor.js';
import {GrpcServer} from '../../src/protocol/grpc_server.js';
import {AgentFixture, TASK_SIZE} from '../agent/fixtures/agent_fixture.js';
import {FakeExecutor} from '../agent/fixtures/fake_executor.js';
import {MESSAGES} from './drawn_messages.js';
import {jobStatus, startEntry} from './entry_fixture.js';

/** A reply, a message that can't be decoded, and one with a bad field. */
const ANSWERED: ReadonlySet<number> = new Set([
  status.OK,
  status.INTERNAL,
  status.INVALID_ARGUMENT,
]);

/** Calls a server with bytes; resolves to the gRPC status, 0 for a reply. */
class RawClient {
  readonly faults: string[] = [];
  readonly server = new GrpcServer({
    onHandlerError: message => void this.faults.push(message),
  });
  private client!: Client;

  async start(): Promise<void> {
    const port = await this.server.listen('127.0.0.1:0');
    this.client = new Client(`127.0.0.1:${port}`, credentials.createInsecure());
  }

  call(service: ServiceDefinition, method: string, bytes: Uint8Array) {
    const {path, responseDeserialize} = service[method];
    return new Promise<number>(resolve =>
      this.client.makeUnaryRequest(
        path,
        (value: Uint8Array) => Buffer.from(value),
        responseDeserialize,
        bytes,
        {deadline: Date.now() + 20_000},
        error => resolve(error?.code ?? 0),
      ),
    );
  }

  /** Sends one batch through a stream of its own; counts the replies. */
  stream(service: ServiceDefinition, bytes: Uint8Array) {
    const seen = {code: -1, numbers: [] as number[], answered: 0};
    const stream = this.client.makeBidiStreamRequest(
      service.streamCalls.path,
      (value: Uint8Array) => Buffer.from(value),
      value => ReplyBatch.decode(value),
      {deadline: Date.now() + 20_000},
    );
    stream.on('data', ({replies}: ReplyBatch) => {
      for (const {number, reply} of replies) {
        seen.numbers.push(number);
        if (reply) seen.answered += 1;
      }
    });
    stream.on('error', () => {});
    stream.on('status', ({code}) => (seen.code = code));
    stream.end(bytes);
    return new Promise<typeof seen>(resolve =>
      stream.on('end', () => resolve(seen)),
    );
  }

  async close(): Promise<void> {
    this.client.close();
    await this.server.close('the test ends');
  }
}

/** Random bytes, or a drawn message whole, cut or with a byte changed. */
function bytesFor(service: ServiceDefinition, method: string) {
  return orBroken(
    MESSAGES[method].map(drawn =>
      Uint8Array.from(service[method].requestSerialize(drawn)),
    ),
  );
}

function orBroken(whole: fc.Arbitrary<Uint8Array>) {
  const broken = fc.tuple(whole, fc.nat(), fc.nat(255), fc.boolean());
  return fc.oneof(
    {arbitrary: whole, weight: 3},
    fc.uint8Array({maxLength: 200}),
    broken.map(([bytes, at, value, cut]) => {
      const index = at % (bytes.length + 1);
      if (cut) return bytes.slice(0, index);
      const changed = Uint8Array.from(bytes);
      changed.fill(value, index, index + 1);
      return changed;
    }),
  );
}

/** Whether the message is that of a newer owner, whom the agent must obey. */
function isNewerOwner(
  service: ServiceDefinition,
  method: string,
  bytes: Uint8Array,
): boolean {
  try {
    const message = service[method].requestDeserialize(Buffer.from(bytes));
    const {shard, epoch} = message as {shard?: number; epoch?: number};
    return shard === 1 && epoch !== undefined && epoch > 5;
  } catch {
    return false;
  }
}

type Methods = ReadonlyArray<{
  readonly number: number;
  readonly codec: unknown;
}>;

/** Batches of calls to known and unknown methods, whole or broken. */
function batchesFor(service: ServiceDefinition, methods: Methods) {
  const calls = methods.map(method => {
    const names = Object.keys(service);
    const name = names.find(each => service[each] === method.codec)!;
    return fc.record<Call>({
      number: fc.constantFrom(0, 1, 2, 2, Number.MAX_SAFE_INTEGER),
      method: fc.constantFrom(method.number, method.number, 0, 99),
      request: bytesFor(service, name)
        .filter(bytes => !isNewerOwner(service, name, bytes))
        .map(bytes => Buffer.from(bytes)),
    });
  });
  const batch = fc.array(fc.oneof(...calls), {maxLength: 5});
  return orBroken(
    batch.map(drawn => CallBatch.encode({calls: drawn}).finish()),
  );
}

function decodeBatch(bytes: Uint8Array): CallBatch | undefined {
  try {
    return CallBatch.decode(bytes);
  } catch {
    return undefined;
  }
}

/** Streams batches; each decodable call has to get exactly one reply. */
async function streamAll(
  client: RawClient,
  service: ServiceDefinition,
  methods: Methods,
  seed: number,
): Promise<number> {
  let answered = 0;
  const property = fc.asyncProperty(
    batchesFor(service, methods).filter(bytes =>
      (decodeBatch(bytes)?.calls ?? []).every(({request}) =>
        Object.keys(MESSAGES).every(
          name => !service[name] || !isNewerOwner(service, name, request),
        ),
      ),
    ),
    async bytes => {
      const batch = decodeBatch(bytes);
      const seen = await client.stream(service, bytes);
      answered += seen.answered;
      if (client.faults.length > 0) throw new Error(client.faults.pop());
      if (!batch) return seen.code === status.INTERNAL;
      const numbers = batch.calls.map(({number}) => number);
      const isWhole = String(seen.numbers.sort()) === String(numbers.sort());
      return seen.code === status.OK && isWhole;
    },
  );
  await fc.assert(property, {seed, numRuns: 300});
  return answered;
}

/** Calls every unary method; gives the statuses seen, to show what was reached. */
async function callAll(
  client: RawClient,
  service: ServiceDefinition,
  seed: number,
): Promise<Map<string, Set<number>>> {
  const seen = new Map<string, Set<number>>();
  for (const method of Object.keys(service)) {
    if (service[method].requestStream) continue;
    const statuses = new Set<number>();
    seen.set(method, statuses);
    const property = fc.asyncProperty(
      bytesFor(service, method).filter(
        bytes => !isNewerOwner(service, method, bytes),
      ),
      async bytes => {
        const code = await client.call(service, method, bytes);
        statuses.add(code);
        if (client.faults.length > 0) throw new Error(client.faults.pop());
        return ANSWERED.has(code);
      },
    );
    await fc.assert(property, {seed, numRuns: 300});
  }
  return seen;
}

test('should answer any message to an entry', async t => {
  const entry = await startEntry();
  const client = new RawClient();
  client.server.serveEntry(entry);
  await client.start();
  t.is(await jobStatus(entry, 'POST', 'kept'), 201);
  const seen = await callAll(client, EntryServiceService, 21);
  const methods = Object.values(EntryMethods);
  t.true((await streamAll(client, EntryServiceService, methods, 23)) > 0);
  for (const [method, codes] of seen) t.true(codes.has(status.OK), method);
  t.is(await jobStatus(entry, 'GET', 'kept'), 200);
  t.is(await jobStatus(entry, 'POST', 'later'), 201);
  for (const path of ['/v1/vms', '/v1/services', '/v1/state', '/metrics']) {
    const headers: never[] = [];
    const call = {method: 'GET', path, headers, body: Buffer.of()};
    t.is((await entry.forwardCall(call)).status, 200, path);
  }
  const none = HeartbeatRequest.decode(new Uint8Array());
  const size = {milliprocessors: 1, memoryMegabytes: 1, accelerators: 0};
  const good = HeartbeatRequest.encode({
    ...{...none, agentId: 'good', incarnation: 'run-1', failureDomain: 'tema'},
    ...{address: '127.0.0.1:1', capacity: size, committed: size},
  });
  const service = EntryServiceService;
  t.is(await client.call(service, 'heartbeat', good.finish()), status.OK);
  await client.close();
  await entry.stop('the test ends');
  entry.dispose('the test ends');
});

test('should answer any message to an agent', async t => {
  const fixture = new AgentFixture(clock => ({
    executor: new FakeExecutor(clock),
    executorConfiguration: {
      ...{service: 'depot', team: 'depot', slots: 2, connections: 8},
      reserved: TASK_SIZE,
    },
  }));
  const client = new RawClient();
  client.server.serveAgent(fixture.agent);
  await client.start();
  await fixture.startAgent();
  t.true((await fixture.startTask(0, {evictable: false})).accepted);
  const running = fixture.worker.runningIds();
  let done = false;
  const methods = Object.values(AgentMethods);
  const calls = callAll(client, AgentServiceService, 22);
  const streams = calls.then(() =>
    streamAll(client, AgentServiceService, methods, 24),
  );
  void streams.catch(() => {}).finally(() => (done = true));
  while (!done) {
    await fixture.advance(50);
    await new Promise(resolve => setImmediate(resolve));
  }
  const seen = await calls;
  t.true((await streams) > 0);
  for (const [method, codes] of seen) t.true(codes.has(status.OK), method);
  await fixture.advance(20_000);
  t.true(fixture.worker.runningIds().includes(running[0]), 'lost');
  const later = await fixture.startTask(1);
  t.true(later.accepted, later.reason);
  const reply = await fixture.agent.dumpState();
  t.notThrows(() => JSON.parse(reply.json));
  await client.close();
  fixture.agent.kill();
});

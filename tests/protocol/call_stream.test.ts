import {Duplex} from 'node:stream';
import {status} from '@grpc/grpc-js';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {ResultCodes} from '../../src/observability/result_codes.js';
import type {ResultCode} from '../../src/observability/result_codes.js';
import {CallStreamResponder} from '../../src/protocol/call_stream_responder.js';
import type {ServerBatchStream} from '../../src/protocol/call_stream_responder.js';
import {
  HeartbeatReply,
  HeartbeatRequest,
  ReportAttemptsRequest,
} from '../../src/protocol/generated/burdockmoor.js';
import {GrpcLinkFactory} from '../../src/protocol/grpc_links.js';
import {GrpcServer} from '../../src/protocol/grpc_server.js';
import {LinkError} from '../../src/protocol/link_error.js';
import type {EntryHandlers, EntryLink} from '../../src/protocol/links.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {until} from '../stand_ins/until.js';
import {ScriptedPeer} from './fixtures/scripted_peer.js';

const SIZE = {milliprocessors: 1, memoryMegabytes: 1, accelerators: 0};
const HEARTBEAT_MILLIS = 1_000;
const HEARTBEAT: HeartbeatRequest = {
  ...HeartbeatRequest.decode(new Uint8Array()),
  ...{agentId: 'vm-1', incarnation: 'run-1', failureDomain: 'tema'},
  ...{address: '127.0.0.1:1', capacity: SIZE, committed: SIZE},
};
const REPLY = HeartbeatReply.decode(new Uint8Array());
const TOO_LARGE = 'x'.repeat(17_000_000);

function report(agentId: string, reason = ''): ReportAttemptsRequest {
  const none = ReportAttemptsRequest.decode(new Uint8Array());
  const attempt = {team: 'depot', job: 'build', task: 0, attempt: 1};
  const item = {
    ...{name: attempt, outcome: '', checkpoint: '', result: '', reason},
    ...{resultCode: 0, ranMillis: 0, used: undefined},
  };
  return {...none, agentId, incarnation: 'run-1', reports: [item]};
}

async function linkToPeer(t: ExecutionContext) {
  const peer = new ScriptedPeer();
  const clock = new VirtualClock();
  const link = new GrpcLinkFactory({clock}).openEntry(await peer.listen());
  t.teardown(() => {
    link.close('the test ends');
    peer.close();
  });
  return {
    peer,
    clock,
    link,
    beat: () => link.heartbeat(HEARTBEAT, HEARTBEAT_MILLIS),
  };
}

async function linkToServer(
  t: ExecutionContext,
  handlers: Partial<EntryHandlers>,
) {
  const server = new GrpcServer({onFault: () => {}});
  server.serveEntry(handlers as EntryHandlers);
  const port = await server.listen('127.0.0.1:0');
  const link = new GrpcLinkFactory().openEntry(`127.0.0.1:${port}`);
  t.teardown(() => {
    link.close('the test ends');
    return server.close('the test ends');
  });
  return {server, link};
}

async function fails(
  t: ExecutionContext,
  call: Promise<unknown>,
  expected: {notSent: boolean; resultCode?: ResultCode},
): Promise<void> {
  const error = await t.throwsAsync(call, {instanceOf: LinkError});
  const {notSent, resultCode} = error as InstanceType<typeof LinkError>;
  t.is(notSent, expected.notSent, error?.message);
  if (expected.resultCode) t.deepEqual(resultCode, expected.resultCode);
}

async function answersAgain(
  t: ExecutionContext,
  {peer, link}: {peer: ScriptedPeer; link: EntryLink},
  count: number,
): Promise<void> {
  const call = link.heartbeat(HEARTBEAT, HEARTBEAT_MILLIS);
  peer.answer(await peer.call(count), 'again');
  t.is((await call).entryId, 'again');
}

test('should match crossed replies, and send calls of a turn together', async t => {
  const {peer, beat} = await linkToPeer(t);
  const calls = [beat(), beat(), beat()];
  await peer.call(3);
  for (const call of [...peer.received].reverse()) {
    peer.answer(call, `reply to ${call.number}`);
  }
  const replies = await Promise.all(calls);
  const expected = ['reply to 1', 'reply to 2', 'reply to 3'];
  t.deepEqual(
    replies.map(reply => reply.entryId),
    expected,
  );
  t.is(peer.batches, 1);
  t.is(peer.streams.length, 1);
});

test('should not know what became of calls on a stream that was cut, and open it again after a pause that grows', async t => {
  const {peer, clock, beat, link} = await linkToPeer(t);
  let cuts = 0;
  for (const [pauseMillis, opens] of [
    [0, true],
    [60, false],
    [60, true],
    [120, false],
    [120, true],
  ] as const) {
    clock.runUntil(clock.now() + pauseMillis);
    const calls = [beat(), beat()];
    if (opens) {
      const {stream} = await peer.call(2 * ++cuts);
      stream.emit('error', {code: status.UNAVAILABLE, details: 'cut'});
    }
    for (const call of calls) await fails(t, call, {notSent: !opens});
    t.is(peer.streams.length, cuts);
  }
  clock.runUntil(clock.now() + 2_400);
  await answersAgain(t, {peer, link}, 7);
});

test('should take a new connection when a call stays unanswered', async t => {
  const {peer, clock, beat, link} = await linkToPeer(t);
  await answersAgain(t, {peer, link}, 1);
  clock.runUntil(10);
  const call = beat();
  const silent = await peer.call(2);
  const other = link.reportAttempts(report('vm-1'));
  await peer.call(3);
  clock.runUntil(1_010);
  await fails(t, call, {notSent: false});
  peer.answer(silent, 'too late');
  await answersAgain(t, {peer, link}, 4);
  t.not(peer.streams[1].getPeer(), silent.stream.getPeer());
  // Late for the stream, but within the call's own deadline.
  peer.answer(peer.received[2], '');
  await t.notThrowsAsync(other);
  await until(() => silent.stream.cancelled);
});

test('should keep a stream that answers others beside a slow call', async t => {
  const {peer, clock, beat, link} = await linkToPeer(t);
  const slow = link.reportAttempts(report('vm-1'));
  await peer.call(1);
  clock.runUntil(500);
  await answersAgain(t, {peer, link}, 2);
  clock.runUntil(3_000);
  await fails(t, slow, {notSent: false});
  peer.answer(peer.received[0], 'too late');
  const call = beat();
  peer.answer(await peer.call(3), 'in time');
  t.is((await call).entryId, 'in time');
  t.is(peer.streams.length, 1);
});

test('should know that calls on a stream never opened were not sent', async t => {
  const {peer, clock, beat, link} = await linkToPeer(t);
  peer.accepts = false;
  const call = beat();
  await until(() => peer.streams.length === 1);
  clock.runUntil(1_000);
  await fails(t, call, {notSent: true});
  peer.accepts = true;
  await answersAgain(t, {peer, link}, 1);
});

test('should trust no stream that answers a call never made', async t => {
  const {peer, clock, beat, link} = await linkToPeer(t);
  const call = beat();
  peer.answer(await peer.call(1), 'wrong', 7);
  await fails(t, call, {notSent: false});
  clock.runUntil(200);
  await answersAgain(t, {peer, link}, 2);
});

test('should refuse calls that a slow peer leaves waiting', async t => {
  const {peer, link} = await linkToPeer(t);
  await answersAgain(t, {peer, link}, 1);
  peer.streams[0].pause();
  const refused: unknown[] = [];
  for (let turn = 0; turn < 60; turn++) {
    for (let index = 0; index < 20; index++) {
      const call = link.reportAttempts(report('vm-1', 'x'.repeat(8_000)));
      call.catch((error: unknown) => refused.push(error));
    }
    await new Promise(resolve => setImmediate(resolve));
  }
  const resultCode = ResultCodes.PROCESS_TOO_SLOW;
  t.like(refused[0], {notSent: true, resultCode});
  peer.streams[0].resume();
  await peer.call(1 + 60 * 20 - refused.length);
});

test('should fail only the call whose message is too large', async t => {
  const {link} = await linkToServer(t, {
    heartbeat: async ({agentId}) => ({
      ...REPLY,
      entryId: agentId === 'large' ? TOO_LARGE : 'small',
    }),
  });
  const resultCode = ResultCodes.BODY_TOO_LARGE;
  const large = link.reportAttempts(report('vm-1', TOO_LARGE));
  const largeReply = link.heartbeat(
    {...HEARTBEAT, agentId: 'large'},
    HEARTBEAT_MILLIS,
  );
  const small = link.heartbeat(HEARTBEAT, HEARTBEAT_MILLIS);
  await fails(t, large, {notSent: true, resultCode});
  await fails(t, largeReply, {notSent: false});
  t.is((await small).entryId, 'small');
});

test('should answer the calls that it has before it closes', async t => {
  let release = () => {};
  const {server, link} = await linkToServer(t, {
    heartbeat: () =>
      new Promise(resolve => {
        release = () => resolve({...REPLY, entryId: 'answered'});
      }),
    reportAttempts: () => Promise.reject(new Error('a fault')),
  });
  const call = link.heartbeat(HEARTBEAT, HEARTBEAT_MILLIS);
  await fails(t, link.reportAttempts(report('vm-1')), {notSent: false});
  await fails(t, link.reportAttempts(report('')), {notSent: false});
  const closed = server.close('it stops');
  let refused = false;
  while (!refused) {
    const next = link.reportAttempts(report('vm-1'));
    refused = await next.then(
      () => false,
      (error: unknown) => error instanceof LinkError && error.notSent,
    );
  }
  release();
  t.is((await call).entryId, 'answered');
  await closed;
});

test('should take no more calls from a peer that reads no replies', async t => {
  let begun = 0;
  const stream = new Duplex({objectMode: true, read() {}, write() {}});
  const answer = async () => {
    begun += 1;
    return Buffer.alloc(0);
  };
  new CallStreamResponder({
    stream: Object.assign(stream, {
      sendMetadata: () => {},
    }) as unknown as ServerBatchStream,
    calls: new Map([[1, {number: 1, answer}]]),
    onFault: t.fail,
    onEnd: () => {},
  });
  for (let number = 1; number <= 1_000; number++) {
    stream.push({calls: [{number, method: 1, request: Buffer.alloc(0)}]});
    await new Promise(resolve => setImmediate(resolve));
  }
  t.true(begun > 200 && begun < 300, `${begun}`);
  stream.destroy();
});

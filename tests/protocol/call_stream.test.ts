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
const EMPTY_REPLY = HeartbeatReply.decode(new Uint8Array());
const TOO_LARGE = 'x'.repeat(17_000_000);
/** Time for the kernel to deliver what was written to a local socket. */
const PAUSE_MILLIS = 50;

function createReport(agentId: string, reason = ''): ReportAttemptsRequest {
  const none = ReportAttemptsRequest.decode(new Uint8Array());
  const attempt = {team: 'depot', job: 'build', task: 0, attempt: 1};
  const item = {
    ...{name: attempt, outcome: '', checkpoint: '', result: '', reason},
    ...{resultCode: 0, ranMillis: 0, used: undefined},
  };
  return {...none, agentId, incarnation: 'run-1', reports: [item]};
}

/** Blocks the event loop. */
function pauseProcess(millis: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, millis);
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
    sendHeartbeat: () => link.heartbeat(HEARTBEAT, HEARTBEAT_MILLIS),
  };
}

// The virtual clock keeps deadlines and the server's grace period from passing
// while the test's process waits for a processor.
async function linkToServer(
  t: ExecutionContext,
  handlers: Partial<EntryHandlers>,
) {
  const clock = new VirtualClock();
  const server = new GrpcServer({onHandlerError: () => {}}, {clock});
  server.serveEntry(handlers as EntryHandlers);
  const port = await server.listen('127.0.0.1:0');
  const link = new GrpcLinkFactory({clock}).openEntry(`127.0.0.1:${port}`);
  t.teardown(() => {
    link.close('the test ends');
    return server.close('the test ends');
  });
  return {server, link};
}

async function assertLinkError(
  t: ExecutionContext,
  call: Promise<unknown>,
  expected: {notSent: boolean; resultCode?: ResultCode},
): Promise<void> {
  const error = await t.throwsAsync(call, {instanceOf: LinkError});
  const {notSent, resultCode} = error as InstanceType<typeof LinkError>;
  t.is(notSent, expected.notSent, error?.message);
  if (expected.resultCode) t.deepEqual(resultCode, expected.resultCode);
}

async function assertAnswersAgain(
  t: ExecutionContext,
  {peer, link}: {peer: ScriptedPeer; link: EntryLink},
  count: number,
): Promise<void> {
  const call = link.heartbeat(HEARTBEAT, HEARTBEAT_MILLIS);
  peer.answer(await peer.waitForCall(count), 'again');
  t.is((await call).entryId, 'again');
}

test('should match replies in another order and batch the calls of one event loop iteration', async t => {
  const {peer, sendHeartbeat} = await linkToPeer(t);
  const calls = [sendHeartbeat(), sendHeartbeat(), sendHeartbeat()];
  await peer.waitForCall(3);
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

test('should report calls on a broken stream as possibly sent and reopen it with increasing backoff', async t => {
  const {peer, clock, sendHeartbeat, link} = await linkToPeer(t);
  let cuts = 0;
  for (const [pauseMillis, opens] of [
    [0, true],
    [60, false],
    [60, true],
    [120, false],
    [120, true],
  ] as const) {
    clock.runUntil(clock.now() + pauseMillis);
    const calls = [sendHeartbeat(), sendHeartbeat()];
    if (opens) {
      const {stream} = await peer.waitForCall(2 * ++cuts);
      stream.emit('error', {code: status.UNAVAILABLE, details: 'cut'});
    }
    for (const call of calls) await assertLinkError(t, call, {notSent: !opens});
    t.is(peer.streams.length, cuts);
  }
  clock.runUntil(clock.now() + 2_400);
  await assertAnswersAgain(t, {peer, link}, 7);
});

test('should open a new connection when a call gets no reply', async t => {
  const {peer, clock, sendHeartbeat, link} = await linkToPeer(t);
  await assertAnswersAgain(t, {peer, link}, 1);
  clock.runUntil(10);
  const call = sendHeartbeat();
  const unanswered = await peer.waitForCall(2);
  const other = link.reportAttempts(createReport('vm-1'));
  await peer.waitForCall(3);
  clock.runUntil(1_010);
  await assertLinkError(t, call, {notSent: false});
  peer.answer(unanswered, 'too late');
  await assertAnswersAgain(t, {peer, link}, 4);
  t.not(peer.streams[1].getPeer(), unanswered.stream.getPeer());
  // The stream was replaced, but the call is within its own deadline.
  peer.answer(peer.received[2], '');
  await t.notThrowsAsync(other);
  await until(() => unanswered.stream.cancelled);
});

// Guards against a call that fails although its reply waits in the socket: after
// a pause of the process, due timers run before the socket is read.
test('should deliver a reply that arrived during a pause past the deadline', async t => {
  const {peer, clock, sendHeartbeat} = await linkToPeer(t);
  const call = sendHeartbeat();
  let isSettled = false;
  const settle = () => (isSettled = true);
  call.then(settle, settle);
  peer.answer(await peer.waitForCall(1), 'in the socket');
  // The peer's HTTP/2 session writes to its socket in the next turn.
  await new Promise(resolve => setImmediate(resolve));
  pauseProcess(PAUSE_MILLIS);
  t.false(isSettled, 'the reply was read before the deadline');
  clock.runUntil(HEARTBEAT_MILLIS);
  t.is((await call).entryId, 'in the socket');
  t.is(peer.streams.length, 1);
});

test('should keep a stream that answers other calls during a slow call', async t => {
  const {peer, clock, sendHeartbeat, link} = await linkToPeer(t);
  const slow = link.reportAttempts(createReport('vm-1'));
  await peer.waitForCall(1);
  clock.runUntil(500);
  await assertAnswersAgain(t, {peer, link}, 2);
  clock.runUntil(3_000);
  await assertLinkError(t, slow, {notSent: false});
  peer.answer(peer.received[0], 'too late');
  const call = sendHeartbeat();
  peer.answer(await peer.waitForCall(3), 'in time');
  t.is((await call).entryId, 'in time');
  t.is(peer.streams.length, 1);
});

test('should report calls on a stream that never opened as not sent', async t => {
  const {peer, clock, sendHeartbeat, link} = await linkToPeer(t);
  peer.acceptsStreams = false;
  const call = sendHeartbeat();
  await until(() => peer.streams.length === 1);
  clock.runUntil(1_000);
  await assertLinkError(t, call, {notSent: true});
  peer.acceptsStreams = true;
  await assertAnswersAgain(t, {peer, link}, 1);
});

test('should cancel a stream that answers a call that was never sent', async t => {
  const {peer, clock, sendHeartbeat, link} = await linkToPeer(t);
  const call = sendHeartbeat();
  peer.answer(await peer.waitForCall(1), 'wrong', 7);
  await assertLinkError(t, call, {notSent: false});
  clock.runUntil(200);
  await assertAnswersAgain(t, {peer, link}, 2);
});

test('should refuse calls when too many wait for a slow peer', async t => {
  const {peer, link} = await linkToPeer(t);
  await assertAnswersAgain(t, {peer, link}, 1);
  peer.streams[0].pause();
  const refused: unknown[] = [];
  for (let turn = 0; turn < 60; turn++) {
    for (let index = 0; index < 20; index++) {
      const call = link.reportAttempts(createReport('vm-1', 'x'.repeat(8_000)));
      call.catch((error: unknown) => refused.push(error));
    }
    await new Promise(resolve => setImmediate(resolve));
  }
  const resultCode = ResultCodes.PROCESS_TOO_SLOW;
  t.like(refused[0], {notSent: true, resultCode});
  peer.streams[0].resume();
  await peer.waitForCall(1 + 60 * 20 - refused.length);
});

test('should fail only the call with a message that is too large', async t => {
  const {link} = await linkToServer(t, {
    heartbeat: async ({agentId}) => ({
      ...EMPTY_REPLY,
      entryId: agentId === 'large' ? TOO_LARGE : 'small',
    }),
  });
  const resultCode = ResultCodes.BODY_TOO_LARGE;
  const large = link.reportAttempts(createReport('vm-1', TOO_LARGE));
  const largeReply = link.heartbeat(
    {...HEARTBEAT, agentId: 'large'},
    HEARTBEAT_MILLIS,
  );
  const small = link.heartbeat(HEARTBEAT, HEARTBEAT_MILLIS);
  await assertLinkError(t, large, {notSent: true, resultCode});
  await assertLinkError(t, largeReply, {notSent: false});
  t.is((await small).entryId, 'small');
});

test('should answer calls in progress before closing', async t => {
  let release = () => {};
  const {server, link} = await linkToServer(t, {
    heartbeat: () =>
      new Promise(resolve => {
        release = () => resolve({...EMPTY_REPLY, entryId: 'answered'});
      }),
    reportAttempts: () => Promise.reject(new Error('a fault')),
  });
  const call = link.heartbeat(HEARTBEAT, HEARTBEAT_MILLIS);
  await assertLinkError(t, link.reportAttempts(createReport('vm-1')), {
    notSent: false,
  });
  await assertLinkError(t, link.reportAttempts(createReport('')), {
    notSent: false,
  });
  const closed = server.close('it stops');
  let refused = false;
  while (!refused) {
    const next = link.reportAttempts(createReport('vm-1'));
    refused = await next.then(
      () => false,
      (error: unknown) => error instanceof LinkError && error.notSent,
    );
  }
  release();
  t.is((await call).entryId, 'answered');
  await closed;
});

test('should stop reading calls from a peer that reads no replies', async t => {
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
    calls: new Map([[1, {number: 1, handle: answer}]]),
    onHandlerError: t.fail,
    onEnd: () => {},
  });
  for (let number = 1; number <= 1_000; number++) {
    stream.push({calls: [{number, method: 1, request: Buffer.alloc(0)}]});
    await new Promise(resolve => setImmediate(resolve));
  }
  t.true(begun > 200 && begun < 300, `${begun}`);
  stream.destroy();
});

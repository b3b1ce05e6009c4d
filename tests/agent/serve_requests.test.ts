import test from 'ava';
import {TailGuard} from '../../src/decisions/eviction/tail_guard.js';
import type {
  GuardAction,
  TailPolicy,
} from '../../src/decisions/eviction/tail_policy.js';
import {AttemptOutcome} from '../../src/decisions/job_types.js';
import {ResultCodes} from '../../src/observability/result_codes.js';
import type {ServeRequest} from '../../src/protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../../src/protocol/links.js';
import {AgentFixture, TASK_SIZE} from './fixtures/agent_fixture.js';
import {FakeExecutor} from './fixtures/fake_executor.js';

class ServiceFixture extends AgentFixture {
  readonly executor: FakeExecutor;

  constructor(policy: Partial<TailPolicy> = {}) {
    super(clock => ({
      tailPolicy: Object.assign(new TailGuard(), policy),
      executor: new FakeExecutor(clock),
      executorConfiguration: {
        service: 'rounds',
        team: 'depot',
        slots: 2,
        connections: 8,
        reserved: TASK_SIZE,
      },
    }));
    this.executor = this.overrides.executor as FakeExecutor;
  }

  request(requestId: string, changes: Partial<ServeRequest> = {}) {
    return this.agent.serve({
      requestId,
      service: 'rounds',
      team: 'depot',
      method: 'GET',
      path: '/stock',
      headers: [],
      body: Buffer.alloc(0),
      deadlineMillis: 1_000,
      idempotent: true,
      ...changes,
    });
  }
}

test('should return to each request its own complete response', async t => {
  const fixture = await ServiceFixture.createStarted();
  const calls = ['a', 'b', 'c'].map(id => fixture.request(id));
  const replies = await fixture.waitFor(Promise.all(calls));
  for (const reply of replies) {
    t.is(reply.outcome, ServeOutcome.ANSWERED);
    t.is(reply.body.toString(), `answer to ${reply.requestId}`);
  }
});

test('should refuse a request at once if its deadline cannot be met', async t => {
  const fixture = await ServiceFixture.createStarted();
  const first = ['a', 'b', 'c', 'd'].map(id => fixture.request(id));
  await fixture.waitFor(Promise.all(first));
  fixture.executor.serviceMillis = 5_000;
  void fixture.request('e', {deadlineMillis: 60_000});
  void fixture.request('f', {deadlineMillis: 60_000});
  const before = fixture.clock.now();
  const late = await fixture.request('g', {deadlineMillis: 20});
  t.is(late.outcome, ServeOutcome.NOT_RUN);
  t.is(late.resultCode, ResultCodes.QUEUE_FULL.number);
  t.true(late.retryAfterMillis > 0);
  t.is(fixture.clock.now(), before);
  t.false(fixture.executor.receivedRequestIds.includes('g'));
});

test('should reply NOT_RUN as soon as a deadline passes in the queue', async t => {
  const fixture = await ServiceFixture.createStarted();
  fixture.executor.serviceMillis = 5_000;
  void fixture.request('a', {deadlineMillis: 60_000});
  void fixture.request('b', {deadlineMillis: 60_000});
  const queued = fixture.request('c', {deadlineMillis: 300});
  const before = fixture.clock.now();
  const reply = await fixture.waitFor(queued);
  t.is(reply.resultCode, ResultCodes.DEADLINE_PASSED.number);
  t.is(reply.outcome, ServeOutcome.NOT_RUN);
  t.true(fixture.clock.now() <= before + 350);
  await fixture.advance(10_000);
  t.false(fixture.executor.receivedRequestIds.includes('c'));
});

test('should reply UNKNOWN when the executor may have run the request', async t => {
  const fixture = await ServiceFixture.createStarted();
  fixture.executor.silent = true;
  const reply = await fixture.waitFor(fixture.request('a'));
  t.is(reply.outcome, ServeOutcome.UNKNOWN);
});

test('should reply NOT_RUN when the request was not sent', async t => {
  const fixture = await ServiceFixture.createStarted();
  fixture.executor.unreachable = true;
  const reply = await fixture.waitFor(fixture.request('a'));
  t.is(reply.outcome, ServeOutcome.NOT_RUN);
  t.is(reply.resultCode, ResultCodes.EXECUTOR_UNREACHABLE.number);
});

test('should report itself unavailable while the executor fails its probes', async t => {
  const fixture = await ServiceFixture.createStarted();
  fixture.executor.silent = true;
  await fixture.advance(5_000);
  t.true(fixture.entry.heartbeats.at(-1)!.executors[0].unavailable);
  const before = fixture.executor.receivedRequestIds.length;
  const reply = await fixture.request('a');
  t.is(reply.outcome, ServeOutcome.NOT_RUN);
  t.is(fixture.executor.receivedRequestIds.length, before);
  fixture.executor.silent = false;
  await fixture.advance(3_000);
  t.is((await fixture.waitFor(fixture.request('b'))).status, 200);
});

test('should run a repeated request once when it is not idempotent', async t => {
  const fixture = await ServiceFixture.createStarted();
  const once = {idempotent: false, method: 'POST'};
  const calls = [fixture.request('a', once), fixture.request('a', once)];
  const replies = await fixture.waitFor(Promise.all(calls));
  const later = await fixture.waitFor(fixture.request('a', once));
  for (const reply of [...replies, later]) t.is(reply.status, 200);
  t.deepEqual(fixture.executor.receivedRequestIds, ['a']);
});

test('should run two requests that only share an id', async t => {
  const fixture = await ServiceFixture.createStarted();
  const once = {idempotent: false, method: 'POST'};
  const calls = [
    fixture.request('a', {...once, body: Buffer.from('one')}),
    fixture.request('a', {...once, body: Buffer.from('two')}),
  ];
  await fixture.waitFor(Promise.all(calls));
  t.is(fixture.executor.receivedRequestIds.length, 2);
});

test('should finish open requests and refuse new ones when it stops', async t => {
  const fixture = await ServiceFixture.createStarted();
  const open = fixture.request('a');
  const stopped = fixture.agent.stop('replaced');
  const refused = await fixture.request('b');
  t.is(refused.resultCode, ResultCodes.UPSTREAM_DRAINING.number);
  t.is(refused.outcome, ServeOutcome.NOT_RUN);
  t.is((await fixture.waitFor(open)).outcome, ServeOutcome.ANSWERED);
  await fixture.waitFor(stopped);
});

test('should start no task that the tail policy does not admit', async t => {
  const fixture = await ServiceFixture.createStarted({admits: () => false});
  const refused = await fixture.startTask(1);
  t.is(refused.resultCode, ResultCodes.TAIL_PROTECTED.number);
  t.deepEqual(fixture.worker.startCalls, []);
});

test('should throttle and evict as the tail policy decides', async t => {
  const actions: GuardAction[] = [];
  const fixture = await ServiceFixture.createStarted({
    decide: () => actions.splice(0),
  });
  await fixture.startTask(1);
  const key = 'depot/route-build/1/1';
  const [taskId] = fixture.worker.runningIds();
  actions.push({type: 'throttle', key, share: 0.2, reason: 'test'});
  await fixture.advance(1_000);
  t.is(fixture.worker.throttledShares.get(taskId), 0.2);
  actions.push({type: 'evict', key, reason: 'test'});
  await fixture.advance(1_000);
  t.deepEqual(fixture.worker.runningIds(), []);
  t.is(fixture.entry.reports[0].outcome, AttemptOutcome.EVICTED);
});

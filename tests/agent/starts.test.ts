import test from 'ava';
import {AttemptOutcome} from '../../src/decisions/job_types.js';
import {ResultCodes} from '../../src/observability/result_codes.js';
import {
  AgentFixture,
  nameOf,
  TASK_SIZE,
  VM_SIZE,
} from './fixtures/agent_fixture.js';

test('should start a task, and once only when the start is repeated', async t => {
  const fixture = await AgentFixture.createStarted();
  const first = await fixture.startTask(1);
  const second = await fixture.startTask(1);
  t.true(first.accepted && second.accepted);
  t.is(fixture.worker.startCalls.length, 1);
  t.is(fixture.worker.runningIds().length, 1);
});

test('should refuse a start from a previous owner', async t => {
  const fixture = await AgentFixture.createStarted();
  const result = await fixture.startTask(1, {}, {epoch: 4});
  t.is(result.resultCode, ResultCodes.OLD_EPOCH.number);
  t.deepEqual(fixture.worker.startCalls, []);
});

test('should refuse a start for an earlier incarnation', async t => {
  const fixture = await AgentFixture.createStarted();
  const result = await fixture.startTask(1, {}, {incarnation: 'run-0'});
  t.is(result.resultCode, ResultCodes.OTHER_INCARNATION.number);
});

test('should refuse a start that was delayed in the network', async t => {
  const fixture = await AgentFixture.createStarted();
  const request = fixture.startRequest(1);
  await fixture.advance(6_000);
  const reply = await fixture.waitFor(fixture.agent.startAttempts(request));
  t.is(reply.results[0].resultCode, ResultCodes.START_DELAYED.number);
  t.deepEqual(fixture.worker.startCalls, []);
});

test('should refuse a start again when it is repeated', async t => {
  const fixture = await AgentFixture.createStarted();
  fixture.settings.fleet = {
    ...fixture.settings.fleet,
    drainedVms: new Set(['vm-1']),
  };
  const refused = await fixture.startTask(1);
  t.is(refused.resultCode, ResultCodes.VM_DRAINED.number);
  fixture.settings.fleet = {
    ...fixture.settings.fleet,
    drainedVms: new Set(),
  };
  const repeated = await fixture.startTask(1);
  t.is(repeated.resultCode, ResultCodes.ATTEMPT_CLOSED.number);
});

test('should refuse a start in a failure domain that is out of service', async t => {
  const fixture = await AgentFixture.createStarted();
  fixture.settings.fleet = {
    ...fixture.settings.fleet,
    failureDomainsOut: new Set(['domain-1']),
  };
  const result = await fixture.startTask(1);
  t.is(result.resultCode, ResultCodes.FAILURE_DOMAIN_OUT.number);
});

test('should request and await a confirmation of the settings before it starts a task', async t => {
  const fixture = await AgentFixture.createStarted();
  fixture.entry.confirmsSettings = false;
  await fixture.advance(5_000);
  fixture.entry.confirmsSettings = true;
  fixture.entry.replyDelayMillis = 200;
  const before = fixture.entry.heartbeats.length;
  const result = await fixture.startTask(1);
  t.true(result.accepted);
  t.is(fixture.entry.heartbeats.length, before + 1);
});

test('should keep its settings confirmed by one entry that asks for long heartbeat periods', async t => {
  const fixture = new AgentFixture();
  fixture.entry.nextHeartbeatMillis = 3_750;
  fixture.entry.settingsAgeMillis = 1_000;
  fixture.entry.replyDelayMillis = 100;
  await fixture.startAgent();
  const {clock, settings} = fixture;
  let oldest = 0;
  for (let step = 0; step < 600; step++) {
    await fixture.advance(100);
    oldest = Math.max(oldest, settings.confirmedAgeMillis(clock.now()));
  }
  t.true(oldest <= settings.fleet.maximumSettingsAgeMillis, `${oldest} ms`);
  // Without a confirmation it asks again, but at a limited rate.
  fixture.entry.confirmsSettings = false;
  const before = fixture.entry.heartbeats.length;
  await fixture.advance(20_000);
  t.true(fixture.entry.heartbeats.length - before <= 11);
});

test('should start nothing while the settings are unconfirmed', async t => {
  const fixture = await AgentFixture.createStarted();
  fixture.entry.confirmsSettings = false;
  await fixture.advance(5_000);
  const result = await fixture.startTask(1);
  t.is(result.resultCode, ResultCodes.SETTINGS_NOT_CONFIRMED.number);
  t.deepEqual(fixture.worker.startCalls, []);
});

test('should start nothing for a shard without a lease', async t => {
  const fixture = new AgentFixture();
  fixture.entry.ownsShard = false;
  await fixture.startAgent();
  const result = await fixture.startTask(1);
  t.is(result.resultCode, ResultCodes.NO_LEASE.number);
});

test('should never admit more than the capacity of the VM', async t => {
  const fixture = await AgentFixture.createStarted();
  const calls = [1, 2, 3, 4, 5, 6].map(task => fixture.startTask(task));
  const results = await Promise.all(calls);
  t.is(results.filter(result => result.accepted).length, 4);
  t.is(results[5].resultCode, ResultCodes.NO_CAPACITY.number);
});

test('should start nothing before the first status of the worker', async t => {
  const fixture = new AgentFixture();
  fixture.worker.silent = true;
  await fixture.startAgent();
  const result = await fixture.startTask(1);
  t.is(result.resultCode, ResultCodes.WORKER_UNAVAILABLE.number);
  const query = {shard: 1, epoch: 5, names: [nameOf(2)]};
  t.false((await fixture.agent.queryAttempts(query)).accepted);
});

test('should report a start that the worker refused as not run', async t => {
  const fixture = await AgentFixture.createStarted();
  fixture.worker.refusesStarts = true;
  const result = await fixture.startTask(1);
  t.is(result.resultCode, ResultCodes.WORKER_REFUSED.number);
  fixture.worker.refusesStarts = false;
  t.true((await fixture.startTask(2, {size: VM_SIZE})).accepted);
});

test('should detect from the status that a start without a response took effect', async t => {
  const fixture = await AgentFixture.createStarted();
  fixture.worker.losesNextStartReply = true;
  t.true((await fixture.startTask(1, {size: VM_SIZE})).accepted);
  await fixture.advance(3_000);
  t.is(fixture.worker.runningIds().length, 1);
  t.false((await fixture.startTask(2)).accepted);
  fixture.worker.finish(fixture.worker.runningIds()[0]);
  await fixture.advance(2_000);
  t.is(fixture.entry.reports[0].outcome, AttemptOutcome.FINISHED);
});

test('should repeat a start that was lost in the network', async t => {
  const fixture = await AgentFixture.createStarted();
  fixture.worker.losesNextStart = true;
  t.true((await fixture.startTask(1)).accepted);
  await fixture.advance(3_000);
  t.is(fixture.worker.runningIds().length, 1);
});

test('should close permanently the attempts that a query finds unknown', async t => {
  const fixture = await AgentFixture.createStarted();
  const request = fixture.startRequest(1);
  const query = {shard: 1, epoch: 6, names: [nameOf(1)]};
  const answer = await fixture.agent.queryAttempts(query);
  t.is(answer.states[0].report?.outcome, AttemptOutcome.REFUSED);
  const delayed = {...request, epoch: 6};
  const reply = await fixture.waitFor(fixture.agent.startAttempts(delayed));
  t.is(reply.results[0].resultCode, ResultCodes.ATTEMPT_CLOSED.number);
});

test('should refuse requests from a previous owner after a query', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  const query = {shard: 1, epoch: 6, names: [nameOf(1)]};
  const answer = await fixture.agent.queryAttempts(query);
  t.true(answer.states[0].running);
  const refused = await fixture.startTask(2, {}, {epoch: 5});
  t.is(refused.resultCode, ResultCodes.OLD_EPOCH.number);
  const stop = {name: nameOf(1), checkpoint: false, reason: 'cancelled'};
  const stopped = {shard: 1, epoch: 5, stops: [stop]};
  t.false((await fixture.agent.stopAttempts(stopped)).accepted);
  t.is(fixture.worker.runningIds().length, 1);
});

test('should evict the task that loses the least work for an urgent one', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1, {evictable: false});
  await fixture.startTask(2);
  await fixture.advance(1_000);
  await fixture.startTask(3);
  await fixture.startTask(4, {urgent: true});
  const result = await fixture.startTask(5, {urgent: true});
  t.true(result.accepted);
  await fixture.advance(1_000);
  const [report] = fixture.entry.reports;
  t.is(report.outcome, AttemptOutcome.EVICTED);
  t.is(report.name?.task, 3);
  t.not(report.checkpoint, '');
});

test('should not start an attempt that was closed while others were evicted for it', async t => {
  const fixture = await AgentFixture.createStarted();
  for (const task of [1, 2, 3, 4]) await fixture.startTask(task);
  fixture.worker.stopMillis = 500;
  const call = fixture.agent.startAttempts(
    fixture.startRequest(5, {urgent: true}),
  );
  await fixture.advance(100);
  const query = {shard: 1, epoch: 6, names: [nameOf(5)]};
  const {states} = await fixture.agent.queryAttempts(query);
  t.is(states[0].report?.outcome, AttemptOutcome.REFUSED);
  const [result] = (await fixture.waitFor(call)).results;
  t.is(result.resultCode, ResultCodes.OLD_EPOCH.number);
  t.is(fixture.worker.startCalls.length, 4);
});

test('should evict nothing if that would not free enough capacity', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  const size = {...TASK_SIZE, accelerators: 2};
  const result = await fixture.startTask(2, {urgent: true, size});
  t.is(result.resultCode, ResultCodes.NO_CAPACITY.number);
  t.is(fixture.worker.runningIds().length, 1);
});

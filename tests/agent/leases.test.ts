import test from 'ava';
import {AttemptOutcome} from '../../src/decisions/job_types.js';
import {ResultCodes} from '../../src/observability/result_codes.js';
import {
  AgentFixture,
  nameOf,
  TASK_SIZE,
  VM_SIZE,
} from './fixtures/agent_fixture.js';
import {FakeEntry, LEASE_MILLIS} from './fixtures/fake_entry.js';

test('should renew the lease of a task for as long as its owner replies', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  await fixture.advance(6 * LEASE_MILLIS);
  t.is(fixture.worker.runningIds().length, 1);
});

test('should checkpoint and stop a task before its lease ends', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  const startedAt = fixture.clock.now();
  fixture.entry.ownsShard = false;
  await fixture.advance(LEASE_MILLIS);
  t.deepEqual(fixture.worker.runningIds(), []);
  t.true(fixture.clock.now() <= startedAt + LEASE_MILLIS);
  fixture.entry.ownsShard = true;
  await fixture.advance(3_000);
  const [report] = fixture.entry.reports;
  t.is(report.outcome, AttemptOutcome.EVICTED);
  t.is(report.resultCode, ResultCodes.LEASE_LAPSED.number);
});

test('should report a task as lost if it could not checkpoint in time', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1, {evictable: false});
  fixture.entry.ownsShard = false;
  await fixture.advance(LEASE_MILLIS + 1_000);
  fixture.entry.ownsShard = true;
  await fixture.advance(3_000);
  t.is(fixture.entry.reports[0].outcome, AttemptOutcome.LOST);
});

test('should count a lease from the sending of the heartbeat, however late the reply', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  const startedAt = fixture.clock.now();
  // Each reply arrives within the lease, but takes nearly all of it.
  fixture.entry.replyDelayMillis = LEASE_MILLIS - 500;
  await fixture.advance(1_500);
  fixture.entry.silent = true;
  await fixture.advance(LEASE_MILLIS + 500);
  t.deepEqual(fixture.worker.runningIds(), []);
  t.true(fixture.clock.now() <= startedAt + LEASE_MILLIS + 2_000);
});

test('should end a task by the lease of the owner that started it, not by a longer one of the owner before', async t => {
  const fixture = await AgentFixture.createStarted();
  // The new owner's start overtakes its first reply to a heartbeat.
  fixture.entry.epoch = 6;
  fixture.entry.leaseMillis = 5_000;
  t.true((await fixture.startTask(1)).accepted);
  fixture.agent.kill();
  await fixture.advance(fixture.entry.leaseMillis);
  t.deepEqual(fixture.worker.runningIds(), []);
});

test('should await the lease of the owner although another entry replies first', async t => {
  const otherAddress = '127.0.0.1:3';
  const fixture = new AgentFixture(() => ({
    entryAddresses: ['127.0.0.1:2', otherAddress],
  }));
  const other = new FakeEntry(fixture.clock, 'entry-2');
  fixture.links.otherEntries.set(otherAddress, other);
  fixture.entry.ownsShard = false;
  await fixture.startAgent();
  other.ownsShard = false;
  fixture.entry.ownsShard = true;
  fixture.entry.epoch = 6;
  fixture.entry.leaseMillis = 5_000;
  fixture.entry.replyDelayMillis = 200;
  t.true((await fixture.startTask(1)).accepted);
  fixture.agent.kill();
  await fixture.advance(fixture.entry.leaseMillis);
  t.deepEqual(fixture.worker.runningIds(), []);
});

test('should start nothing under the lease of an earlier owner', async t => {
  const fixture = await AgentFixture.createStarted();
  fixture.entry.epoch = 6;
  fixture.entry.silent = true;
  const result = await fixture.startTask(1);
  t.is(result.resultCode, ResultCodes.NO_LEASE.number);
  t.deepEqual(fixture.worker.startCalls, []);
});

test('should adopt running tasks after a restart, under a new lease', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1, {size: VM_SIZE});
  await fixture.restart();
  const query = {shard: 1, epoch: 5, names: [nameOf(1)]};
  t.true((await fixture.agent.queryAttempts(query)).states[0].running);
  t.is((await fixture.startTask(2)).resultCode, ResultCodes.NO_CAPACITY.number);
  await fixture.advance(3 * LEASE_MILLIS);
  t.is(fixture.worker.runningIds().length, 1);
});

test('should let the lease of an adopted task expire without an owner', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  fixture.entry.ownsShard = false;
  await fixture.restart();
  await fixture.advance(LEASE_MILLIS);
  t.deepEqual(fixture.worker.runningIds(), []);
});

test('should report after a restart a task that ended during the downtime', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  fixture.agent.kill();
  const [taskId] = fixture.worker.runningIds();
  fixture.worker.finish(taskId);
  await fixture.restart();
  await fixture.advance(1_000);
  t.is(fixture.entry.reports[0].outcome, AttemptOutcome.FINISHED);
  t.is(fixture.entry.reports[0].result, `done ${taskId}`);
});

test('should report an ended attempt until it is recorded in the log of the shard', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  fixture.entry.recordsReports = false;
  fixture.worker.finish(fixture.worker.runningIds()[0]);
  await fixture.advance(3_000);
  t.is((await fixture.worker.status()).tasks.length, 1);
  fixture.entry.recordsReports = true;
  await fixture.advance(2_000);
  t.is(fixture.entry.reports.length, 1);
  t.is((await fixture.worker.status()).tasks.length, 0);
});

test('should report a task as lost if the worker was replaced', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  fixture.worker.replace();
  await fixture.advance(3_000);
  t.deepEqual(fixture.entry.reports, []);
  await fixture.advance(LEASE_MILLIS);
  t.is(fixture.entry.reports[0].outcome, AttemptOutcome.LOST);
});

test('should report tasks as lost if the worker stays silent', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  fixture.worker.silent = true;
  await fixture.advance(4 * LEASE_MILLIS);
  t.is(fixture.entry.reports[0].outcome, AttemptOutcome.LOST);
});

test('should replace a connection that stays silent', async t => {
  const fixture = new AgentFixture();
  fixture.entry.silentLinks = 1;
  await fixture.startAgent();
  await fixture.advance(4_000);
  t.is(fixture.links.opened, 2);
  t.is(fixture.links.closed, 1);
  t.true((await fixture.startTask(1)).accepted);
});

test('should checkpoint, report and announce its shutdown when it stops', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  const stopped = fixture.agent.stop('replaced');
  const refused = await fixture.startTask(2);
  t.is(refused.resultCode, ResultCodes.VM_DRAINED.number);
  await fixture.waitFor(stopped);
  t.true(fixture.entry.heartbeats.at(-1)!.stopping);
  t.is(fixture.entry.reports[0].outcome, AttemptOutcome.EVICTED);
  t.deepEqual(fixture.worker.runningIds(), []);
});

test('should report a cancelled task as cancelled', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  const stop = {name: nameOf(1), checkpoint: false, reason: 'cancelled'};
  await fixture.agent.stopAttempts({shard: 1, epoch: 5, stops: [stop]});
  await fixture.advance(2_000);
  t.is(fixture.entry.reports[0].outcome, AttemptOutcome.CANCELLED);
});

test('should stop a task that runs although it was reported as ended', async t => {
  const fixture = await AgentFixture.createStarted();
  const query = {shard: 1, epoch: 5, names: [nameOf(1)]};
  await fixture.agent.queryAttempts(query);
  await fixture.worker.start({
    ...fixture.startRequest(1).starts[0],
    id: '1.e/depot/route-build/1/1',
    size: TASK_SIZE,
    leaseExpiresAt: Infinity,
  });
  await fixture.advance(2_000);
  t.deepEqual(fixture.worker.runningIds(), []);
});

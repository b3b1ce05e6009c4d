import test from 'ava';
import {createEndedReport} from '../../src/agent/attempt_reports.js';
import type {Attempt} from '../../src/agent/attempt_table.js';
import {evictionIntent} from '../../src/agent/commands/attempt_stopper.js';
import {WorkerTaskState} from '../../src/backends/worker.js';
import type {WorkerTask} from '../../src/backends/worker.js';
import {AgentFixture} from './fixtures/agent_fixture.js';

test('should not exit before the entry replied to the announcement', async t => {
  const fixture = await AgentFixture.createStarted();
  fixture.entry.replyDelayMillis = 300;
  let stopped = false;
  void fixture.agent.stop('planned').then(() => (stopped = true));
  await fixture.advance(200);
  t.true(fixture.entry.heartbeats.at(-1)!.stopping);
  t.false(stopped);
  await fixture.advance(200);
  t.true(stopped);
});

test('should not wait indefinitely for a silent entry', async t => {
  const fixture = await AgentFixture.createStarted();
  fixture.entry.silent = true;
  let stopped = false;
  void fixture.agent.stop('planned').then(() => (stopped = true));
  await fixture.advance(2_000);
  t.true(stopped);
});

test('should report its own reason for stopping a task, not the reason of the worker', t => {
  const task = {
    state: WorkerTaskState.STOPPED,
    reason: 'stopped on request',
    checkpoint: '12',
    result: '',
    ranMillis: 5,
  } as WorkerTask;
  const attempt = {
    evictable: true,
    stopIntent: evictionIntent('its failure domain is out'),
  } as Attempt;
  const report = createEndedReport(attempt, task);
  t.is(report.reason, 'its failure domain is out');
  t.is(report.outcome, 'evicted');
});

test('should ignore a response to a stop that describes another task', async t => {
  const fixture = await AgentFixture.createStarted();
  await fixture.startTask(1);
  await fixture.advance(5_000);
  await fixture.startTask(2);
  fixture.worker.returnsOtherTaskOnStop = true;
  await fixture.waitFor(fixture.agent.stop('planned'));
  const doneMillisByTask = new Map<number | undefined, number>();
  for (const {name, checkpoint} of fixture.entry.reports) {
    const {doneMillis} = JSON.parse(checkpoint) as {doneMillis: number};
    doneMillisByTask.set(name?.task, doneMillis);
  }
  t.is(doneMillisByTask.size, 2);
  t.true(doneMillisByTask.get(1)! > 5_000 && doneMillisByTask.get(2)! < 5_000);
});

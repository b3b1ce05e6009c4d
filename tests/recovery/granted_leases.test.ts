import test from 'ava';
import {TaskPhase} from '../../src/decisions/jobs/job_state.js';
import {DEFAULT_FLEET_SETTINGS} from '../../src/settings/settings_branches.js';
import {MAXIMUM_TASK_LEASE_MILLIS} from '../../src/settings/settings_types.js';
import {ShardFixture, specification, view} from '../jobs/shard_fixture.js';

const LONG_LEASE_MILLIS = 20_000;
const SHORT_LEASE_MILLIS = 5_000;
const MARGIN_MILLIS = 2_000;
const GRACE_MILLIS = 90_000;
/** Maximum time until a loss is detected. */
const LOSS_CHECK_MILLIS = 1_000;

function runningTask(): ShardFixture {
  const fixture = new ShardFixture({
    limits: {earlierOwnerGraceMillis: GRACE_MILLIS},
  });
  setLease(fixture, LONG_LEASE_MILLIS);
  fixture.heartbeat(view('vm-1'));
  fixture.scheduler.submit(specification(), fixture.now, fixture.now);
  const [start] = fixture.step();
  fixture.accept('vm-1', start.name);
  return fixture;
}

function setLease(fixture: ShardFixture, taskLeaseMillis: number): void {
  fixture.scheduler.setFleet({...DEFAULT_FLEET_SETTINGS, taskLeaseMillis});
}

function phase(fixture: ShardFixture): string | undefined {
  return fixture.scheduler.job('depot', 'build')?.tasks[0].phase;
}

test('should detect a loss by the granted lease, not by a shorter one set later', t => {
  const fixture = runningTask();
  setLease(fixture, SHORT_LEASE_MILLIS);
  fixture.step(LONG_LEASE_MILLIS + MARGIN_MILLIS);
  t.is(phase(fixture), TaskPhase.OPEN);
  fixture.step(LOSS_CHECK_MILLIS);
  t.not(phase(fixture), TaskPhase.OPEN);
});

test('should apply a longer lease from the next answered heartbeat on', t => {
  const fixture = runningTask();
  setLease(fixture, MAXIMUM_TASK_LEASE_MILLIS);
  fixture.heartbeat(view('vm-1'));
  fixture.step(MAXIMUM_TASK_LEASE_MILLIS + MARGIN_MILLIS);
  t.is(phase(fixture), TaskPhase.OPEN);
  fixture.step(LOSS_CHECK_MILLIS);
  t.not(phase(fixture), TaskPhase.OPEN);
});

test('should wait for the longest lease that an earlier owner may have granted', t => {
  const fixture = runningTask();
  fixture.takeOver();
  setLease(fixture, SHORT_LEASE_MILLIS);
  fixture.step(GRACE_MILLIS + MAXIMUM_TASK_LEASE_MILLIS + MARGIN_MILLIS);
  t.is(phase(fixture), TaskPhase.OPEN);
  fixture.step(LOSS_CHECK_MILLIS);
  t.not(phase(fixture), TaskPhase.OPEN);
});

import test from 'ava';
import {AttemptOutcome} from '../../src/decisions/job_types.js';
import {StartRateLimiter} from '../../src/decisions/recovery/start_rate_limiter.js';
import {WorkerQuarantine} from '../../src/decisions/recovery/worker_quarantine.js';
import {ResultCodes} from '../../src/observability/result_codes.js';
import type {FleetSettings} from '../../src/settings/settings_types.js';
import {ShardFixture, specification, view} from '../jobs/shard_fixture.js';

function fleet(changes: Partial<FleetSettings> = {}): FleetSettings {
  return {
    failureDomainsOut: new Set(),
    drainedVms: new Set(),
    taskLeaseMillis: 10_000,
    maximumSettingsAgeMillis: 4000,
    heartbeatMillis: 1000,
    retryBudgetShare: 0.1,
    maximumEjectedShare: 0.3,
    ...changes,
  };
}

test('should place nothing on a VM or domain that operators took out', t => {
  const fixture = new ShardFixture();
  const settings = fleet({
    failureDomainsOut: new Set(['a']),
    drainedVms: new Set(['vm2']),
  });
  fixture.scheduler.setFleet(settings);
  const b = {failureDomain: 'b'};
  fixture.heartbeat(view('vm1'), view('vm2', b));
  fixture.scheduler.submit(specification(), 0, 0);
  t.deepEqual(fixture.step(), []);
  fixture.heartbeat(view('vm3', b));
  t.is(fixture.step(100)[0].vm, 'vm3');
});

test('should move tasks out of a domain with a checkpoint, at a limited rate', t => {
  const limits = {evacuationsPerSecond: 2};
  const fixture = new ShardFixture({limits});
  fixture.heartbeat(view('vm1'));
  fixture.scheduler.submit(specification({taskCount: 4}), 0, 0);
  const names = fixture.step().map(({name}) => name);
  fixture.accept('vm1', ...names);
  fixture.now = 1000;
  const out = fleet({failureDomainsOut: new Set(['a'])});
  fixture.scheduler.setFleet(out);
  fixture.step();
  const [{stops}] = fixture.scheduler.stopsDue(fixture.now);
  t.is(stops.length, 2);
  t.true(stops.every(({checkpoint}) => checkpoint));
  fixture.step(1000);
  t.is(fixture.scheduler.stopsDue(fixture.now)[0].stops.length, 4);
});

test('should not send a start whose domain was taken out before the commit', t => {
  const fixture = ShardFixture.submitted();
  fixture.scheduler.decide(0, 0);
  fixture.scheduler.takeRecords();
  fixture.scheduler.setFleet(fleet({failureDomainsOut: new Set(['a'])}));
  fixture.scheduler.decide(10, 10);
  fixture.scheduler.acknowledge();
  t.deepEqual(fixture.scheduler.startsDue(10), []);
});

test('should quarantine a worker failing tasks that succeed elsewhere', t => {
  const judge = new WorkerQuarantine();
  judge.recordSuccess('vm2', 'route');
  judge.recordSuccess('vm3', 'route');
  for (let index = 0; index < 3; index++)
    judge.recordFailure('vm1', 'route', 0);
  t.false(judge.admits('vm1', 1));
  t.true(judge.admits('vm2', 1));
  t.true(judge.admits('vm1', 11_000));
  judge.recordPlacement('vm1', 11_000);
  t.false(judge.admits('vm1', 11_001));
  judge.recordSuccess('vm1', 'route');
  t.true(judge.admits('vm1', 11_002));
});

test('should not quarantine workers for a kind that fails everywhere', t => {
  const judge = new WorkerQuarantine();
  const vms = ['vm1', 'vm2', 'vm3'];
  for (const vm of vms) judge.recordFailure(vm, 'broken', 0);
  for (let index = 0; index < 50; index++) {
    for (const vm of vms) judge.recordFailure(vm, 'broken', index);
  }
  t.true(vms.every(vm => judge.admits(vm, 100)));
});

test('should not return a failed task to the VM on which it failed', t => {
  const fixture = new ShardFixture();
  fixture.heartbeat(view('vm1'), view('vm2'));
  fixture.scheduler.submit(specification(), 0, 0);
  const [{vm, name}] = fixture.step();
  fixture.accept(vm, name);
  const failed = {
    name,
    outcome: AttemptOutcome.FAILED,
    checkpoint: '',
    result: '',
    reason: '',
    resultCode: 313,
    ranMillis: 1,
    used: specification().size,
  };
  fixture.report(vm, failed);
  t.deepEqual(fixture.step(100), []);
  fixture.now = 2000;
  fixture.heartbeat(view('vm1'), view('vm2'));
  t.not(fixture.step()[0].vm, vm);
});

test('should avoid a VM that refused a task to protect a tail latency', t => {
  const fixture = ShardFixture.submitted();
  const [{vm, name}] = fixture.step();
  fixture.refuse(vm, name, ResultCodes.TAIL_PROTECTED.number);
  fixture.now = 4_000;
  fixture.heartbeat(view('vm1'));
  t.deepEqual(fixture.step(), []);
  fixture.heartbeat(view('vm2'));
  t.is(fixture.step(100)[0].vm, 'vm2');
});

test('should limit the rate of normal placements but not of urgent ones', t => {
  const pacer = new StartRateLimiter({startsPerSecond: 10, burst: 2});
  const fixture = new ShardFixture({policies: {pacer}});
  const capacity = {
    milliprocessors: 64_000,
    memoryMegabytes: 64_000,
    accelerators: 0,
  };
  fixture.heartbeat(view('vm1', {capacity}), view('vm2', {capacity}));
  fixture.scheduler.submit(specification({taskCount: 9}), 0, 0);
  t.is(fixture.step().length, 2);
  const urgent = {name: 'now', urgency: 'urgent', taskCount: 3} as const;
  fixture.scheduler.submit(specification(urgent), 0, 0);
  t.is(fixture.step().length, 3);
});

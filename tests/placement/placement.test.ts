import test from 'ava';
import {AttemptOutcome, JobKind} from '../../src/decisions/job_types.js';
import {PeakSizeLearner} from '../../src/decisions/placement/size_learner.js';
import {AdaptiveClaims} from '../../src/decisions/placement/capacity_claims.js';
import {Random} from '../../src/utilities/random.js';
import {
  ShardFixture,
  report,
  specification,
  view,
} from '../jobs/shard_fixture.js';

const ACCELERATED = {
  milliprocessors: 4000,
  memoryMegabytes: 8000,
  accelerators: 2,
};

test('should place urgent jobs first, then the team with the least share', t => {
  const fixture = new ShardFixture();
  const {scheduler} = fixture;
  scheduler.submit(specification({name: 'one', taskCount: 3}), 0, 0);
  scheduler.submit(specification({team: 'yard', name: 'two'}), 0, 0);
  scheduler.submit(specification({name: 'now', urgency: 'urgent'}), 0, 0);
  fixture.heartbeat(view('vm1'));
  const order = fixture.step().map(({name}) => `${name.job}/${name.task}`);
  t.deepEqual(order, ['now/0', 'two/0', 'one/0', 'one/1']);
});

test('should keep a team within its quota', t => {
  const fixture = new ShardFixture();
  const {size} = specification();
  fixture.scheduler.setTeam({
    team: 'depot',
    quota: {...size, milliprocessors: 2000, memoryMegabytes: 9000},
    quotaRunningTasks: 10,
    weight: 1,
    defaultUrgency: 'normal',
    services: new Map(),
  });
  fixture.scheduler.submit(specification({taskCount: 4}), 0, 0);
  fixture.heartbeat(view('vm1'));
  t.is(fixture.step().length, 2);
  const summary = fixture.scheduler.explain('depot', 'build')?.summary;
  t.regex(summary ?? '', /quota/);
});

test('should keep accelerators for tasks that need them', t => {
  const fixture = new ShardFixture();
  fixture.heartbeat(view('vm1', {capacity: ACCELERATED}), view('vm2'));
  fixture.scheduler.submit(specification({taskCount: 4}), 0, 0);
  const vms = new Set(fixture.step().map(({vm}) => vm));
  t.deepEqual([...vms], ['vm2']);
});

test('should spread the watchers of a team over failure domains', t => {
  const fixture = new ShardFixture();
  for (const domain of ['a', 'b', 'c']) {
    for (const index of [1, 2]) {
      const vm = `${domain}${index}`;
      fixture.heartbeat(view(vm, {failureDomain: domain}));
    }
  }
  const watcher = specification({kind: JobKind.WATCHER, taskCount: 3});
  fixture.scheduler.submit(watcher, 0, 0);
  const domains = new Set(fixture.step().map(({vm}) => vm[0]));
  t.is(domains.size, 3);
});

test('should avoid a VM whose service would miss its target', t => {
  const fixture = new ShardFixture();
  const late = {service: 'rounds', tailMillis: 38, targetMillis: 40};
  const interference = [{service: 'rounds', taskKind: 'route', slowdown: 3}];
  fixture.heartbeat(view('vm1', {services: [late], interference}));
  fixture.scheduler.submit(specification(), 0, 0);
  t.deepEqual(fixture.step(), []);
  const summary = fixture.scheduler.explain('depot', 'build')?.summary;
  t.regex(summary ?? '', /would push services over their target/);
  fixture.heartbeat(view('vm2'));
  t.is(fixture.step(100)[0].vm, 'vm2');
});

test('should raise a reservation to the learned size, never lower it', t => {
  const learner = new PeakSizeLearner();
  const {size} = specification();
  const big = {milliprocessors: 1500, memoryMegabytes: 100, accelerators: 0};
  learner.record('depot', 'route', big, 1000, true);
  const raised = learner.reservation('depot', 'route', size);
  t.true(raised.milliprocessors >= 1500);
  t.is(raised.memoryMegabytes, size.memoryMegabytes);
  t.is(learner.reservation('yard', 'route', size), size);
});

test('should evict a normal task for an urgent one without capacity', t => {
  const fixture = ShardFixture.submitted({taskCount: 4});
  const names = fixture.step().map(({name}) => name);
  fixture.accept('vm1', ...names);
  const urgent = specification({name: 'now', urgency: 'urgent'});
  fixture.scheduler.submit(urgent, 0, 0);
  fixture.step();
  fixture.step(200);
  const [{stops}] = fixture.scheduler.stopsDue(fixture.now);
  t.is(stops.length, 1);
  t.true(stops[0].checkpoint);
  fixture.report('vm1', report(stops[0].name, AttemptOutcome.EVICTED));
  t.deepEqual(
    fixture.step(10).map(({name}) => name.job),
    ['now'],
  );
});

test('should always claim the VMs assigned to the shard', t => {
  const claims = new AdaptiveClaims(new Random(1), 0, 1);
  for (let index = 0; index < 100; index++) claims.refused();
  t.true(claims.shouldClaim('vm1'));
});

test('should rarely claim other VMs after many refusals', t => {
  const claims = new AdaptiveClaims(new Random(1), 5, 2);
  for (let index = 0; index < 100; index++) claims.refused();
  const draws = Array.from({length: 100}, () => claims.shouldClaim('vm1'));
  t.true(draws.filter(Boolean).length < 20);
});

test('should not block a small job behind large ones that do not fit', t => {
  const fixture = new ShardFixture();
  fixture.heartbeat(view('vm1'));
  const large = {...specification().size, milliprocessors: 5000};
  for (const team of ['a', 'b', 'c']) {
    fixture.scheduler.submit(specification({team, size: large}), 0, 0);
  }
  t.deepEqual(fixture.step(), []);
  for (const team of ['d', 'e']) {
    fixture.scheduler.submit(specification({team}), fixture.now, 0);
    t.deepEqual(
      fixture.step(1).map(({name}) => name.team),
      [team],
    );
  }
});

test('should reserve capacity for a job that was blocked for a minute', t => {
  const fixture = new ShardFixture();
  const committed = {...specification().size, milliprocessors: 2000};
  const busy = view('vm1', {committed});
  const large = {...specification().size, milliprocessors: 3000};
  fixture.heartbeat(busy);
  fixture.scheduler.submit(specification({size: large}), 0, 0);
  for (let second = 0; second <= 61; second++) {
    fixture.heartbeat(busy);
    t.deepEqual(fixture.step(1000), []);
  }
  const small = specification({name: 'small', taskCount: 4});
  fixture.scheduler.submit(small, fixture.now, 0);
  t.deepEqual(fixture.step(1), []);
  fixture.heartbeat(view('vm1'));
  const started = fixture.step(50).map(({name}) => name.job);
  t.deepEqual(started.slice(0, 1), ['build']);
});

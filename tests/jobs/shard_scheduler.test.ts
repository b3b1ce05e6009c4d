import test from 'ava';
import {AttemptOutcome, JobKind} from '../../src/decisions/job_types.js';
import {ShardFixture, report, specification, view} from './shard_fixture.js';

test('should send no start before the log holds its placement', t => {
  const fixture = ShardFixture.submitted();
  fixture.scheduler.decide(0, 0);
  t.deepEqual(fixture.scheduler.startsDue(0), []);
  fixture.scheduler.takeRecords();
  t.deepEqual(fixture.scheduler.startsDue(0), []);
  fixture.scheduler.acknowledge();
  t.is(fixture.scheduler.startsDue(0).length, 1);
});

test('should not show a job before the log holds it', t => {
  const fixture = new ShardFixture();
  fixture.scheduler.submit(specification(), 0, 0);
  t.is(fixture.scheduler.job('depot', 'build'), undefined);
  fixture.commit();
  t.is(fixture.scheduler.job('depot', 'build')?.phase, 'waiting');
});

test('should tell a repeated submission from a conflicting one', t => {
  const {scheduler} = new ShardFixture();
  t.is(scheduler.submit(specification(), 0, 0).kind, 'accepted');
  t.is(scheduler.submit(specification(), 0, 0).kind, 'same');
  const other = specification({payload: 'other'});
  t.is(scheduler.submit(other, 0, 0).kind, 'conflict');
});

test('should repeat a start until the agent confirms it', t => {
  const fixture = ShardFixture.submitted();
  const [{name}] = fixture.step();
  t.is(fixture.step(10).length, 0);
  t.is(fixture.step(300).length, 1);
  fixture.accept('vm1', name);
  t.is(fixture.step(2900).length, 0);
});

test('should change nothing on a repeated report', t => {
  const fixture = ShardFixture.submitted();
  const [{name}] = fixture.step();
  const finished = report(name, AttemptOutcome.FINISHED, {result: 'r'});
  fixture.report('vm1', finished);
  t.deepEqual(fixture.scheduler.recordedReports([name]), []);
  fixture.commit();
  t.deepEqual(fixture.scheduler.recordedReports([name]), [name]);
  fixture.report('vm1', finished);
  t.false(fixture.scheduler.hasRecords);
  t.is(fixture.scheduler.job('depot', 'build')?.tasks[0].result, 'r');
});

test('should place a task again only after the lease of a silent VM', t => {
  const fixture = ShardFixture.submitted();
  const [{name}] = fixture.step();
  fixture.accept('vm1', name);
  fixture.now = 11_900;
  fixture.heartbeat(view('vm2'));
  t.deepEqual(fixture.step(), []);
  fixture.now = 12_100;
  const [next] = fixture.step();
  t.is(next.vm, 'vm2');
  t.is(next.name.attempt, 2);
});

test('should hold a lost task that is not idempotent, and explain it', t => {
  const fixture = ShardFixture.submitted({idempotent: false});
  const [{name}] = fixture.step();
  fixture.now = 20_000;
  fixture.heartbeat(view('vm2'));
  t.deepEqual(fixture.step(), []);
  const explanation = fixture.scheduler.explain('depot', 'build');
  t.is(explanation?.phase, 'held');
  t.regex(explanation?.summary ?? '', /may have run/);
  fixture.report('vm1', report(name, AttemptOutcome.FINISHED));
  fixture.commit();
  t.is(fixture.scheduler.job('depot', 'build')?.phase, 'finished');
});

test('should resume an evicted task from its checkpoint', t => {
  const fixture = ShardFixture.submitted({idempotent: false});
  const [{name}] = fixture.step();
  fixture.report('vm1', report(name, AttemptOutcome.EVICTED));
  fixture.scheduler.decide(0, 0);
  fixture.commit();
  const [{starts}] = fixture.scheduler.startsDue(0);
  t.is(starts[0].checkpoint, 'half');
  t.is(starts[0].name.attempt, 2);
});

test('should query the agent when it refuses a repeated start', t => {
  const fixture = ShardFixture.submitted({idempotent: false});
  const [{name}] = fixture.step();
  fixture.step(300);
  fixture.refuse('vm1', name);
  t.false(fixture.scheduler.hasRecords);
  t.deepEqual(fixture.scheduler.queriesDue(fixture.now), [
    {vm: 'vm1', names: [name]},
  ]);
  const states = [{name, running: false, report: undefined}];
  fixture.scheduler.applyQueryStates('vm1', '1', states, 300, 300);
  const [next] = fixture.step(200);
  t.is(next.name.attempt, 2);
});

test('should count an attempt as lost if a restarted agent does not know it', t => {
  const fixture = ShardFixture.submitted({idempotent: false});
  const [{name}] = fixture.step();
  fixture.accept('vm1', name);
  fixture.heartbeat(view('vm1', {incarnation: '2'}));
  t.is(fixture.scheduler.queriesDue(0).length, 1);
  const states = [{name, running: false, report: undefined}];
  fixture.scheduler.applyQueryStates('vm1', '2', states, 0, 0);
  fixture.commit();
  t.is(fixture.scheduler.job('depot', 'build')?.phase, 'held');
});

test('should fail a task after its maximum number of failures', t => {
  const fixture = ShardFixture.submitted({maximumFailures: 1});
  const [{name}] = fixture.step();
  fixture.report('vm1', report(name, AttemptOutcome.FAILED));
  fixture.now = 40_000;
  fixture.heartbeat(view('vm1'));
  const [second] = fixture.step();
  fixture.report('vm1', report(second.name, AttemptOutcome.FAILED));
  fixture.commit();
  t.is(fixture.scheduler.job('depot', 'build')?.phase, 'failed');
});

test('should cancel in one record and stop attempts already sent', t => {
  const fixture = ShardFixture.submitted({taskCount: 100});
  const starts = fixture.step();
  fixture.accept('vm1', ...starts.map(({name}) => name));
  t.is(fixture.scheduler.cancel('depot', 'build', 'x', 0, 0).kind, 'changed');
  t.is(fixture.scheduler.cancel('depot', 'build', 'x', 0, 0).kind, 'same');
  t.is(fixture.scheduler.takeRecords().length, 1);
  fixture.scheduler.acknowledge();
  const [{stops}] = fixture.scheduler.stopsDue(0);
  t.is(stops.length, starts.length);
  const ended = starts.map(({name}) => report(name, AttemptOutcome.CANCELLED));
  fixture.report('vm1', ...ended);
  fixture.commit();
  t.is(fixture.scheduler.job('depot', 'build')?.phase, 'cancelled');
});

test('should restart a watcher that ends until it is closed', t => {
  const fixture = new ShardFixture();
  fixture.heartbeat(view('vm1'));
  const watcher = specification({kind: JobKind.WATCHER, idempotent: false});
  fixture.scheduler.submit(watcher, 0, 0);
  const [{name}] = fixture.step();
  fixture.report('vm1', report(name, AttemptOutcome.FINISHED));
  const [second] = fixture.step(200);
  t.is(second.name.attempt, 2);
  fixture.accept('vm1', second.name);
  fixture.scheduler.cancel('depot', 'build', 'closed', 200, 200);
  t.is(fixture.scheduler.stopsDue(200)[0].stops[0].reason, 'closed');
});

test('should confirm a job by name only once it has ended', t => {
  const fixture = new ShardFixture();
  const {scheduler} = fixture;
  t.is(scheduler.confirm('depot', 'build', 'ama', 0).kind, 'notFound');
  fixture.heartbeat(view('vm1'));
  scheduler.submit(specification(), 0, 0);
  t.is(scheduler.confirm('depot', 'build', 'ama', 0).kind, 'open');
  const [{name}] = fixture.step();
  fixture.report('vm1', report(name, AttemptOutcome.FINISHED));
  t.is(scheduler.confirm('depot', 'build', 'ama', 0).kind, 'changed');
  t.is(scheduler.cancel('depot', 'build', '', 0, 0).kind, 'closed');
  fixture.commit();
  t.is(scheduler.job('depot', 'build')?.confirmedBy, 'ama');
});

test('should say that a job can never run, and let others run', t => {
  const fixture = new ShardFixture();
  fixture.heartbeat(view('vm1'));
  const size = {milliprocessors: 100, memoryMegabytes: 100, accelerators: 2};
  fixture.scheduler.submit(specification({name: 'huge', size}), 0, 0);
  fixture.scheduler.submit(specification(), 0, 0);
  t.is(fixture.step().length, 1);
  const summary = fixture.scheduler.explain('depot', 'huge')?.summary;
  t.regex(summary ?? '', /2 accelerators: it can never run/);
});

test('should remove old jobs, but not held ones', t => {
  const fixture = ShardFixture.submitted();
  const held = specification({name: 'held', idempotent: false});
  fixture.scheduler.submit(held, 0, 0);
  const starts = fixture.step();
  for (const {name} of starts) {
    if (name.job === 'held') continue;
    fixture.report('vm1', report(name, AttemptOutcome.FINISHED));
  }
  fixture.step(20_000);
  fixture.step(25 * 60 * 60 * 1000);
  t.is(fixture.scheduler.job('depot', 'build'), undefined);
  t.is(fixture.scheduler.job('depot', 'held')?.phase, 'held');
});

test('should let a held job be cancelled, and removed later', t => {
  const fixture = ShardFixture.submitted({idempotent: false});
  fixture.step();
  fixture.step(20_000);
  const result = fixture.scheduler.cancel('depot', 'build', 'did run', 0, 0);
  t.is(result.kind, 'changed');
  fixture.step(25 * 60 * 60 * 1000);
  t.is(fixture.scheduler.job('depot', 'build'), undefined);
});

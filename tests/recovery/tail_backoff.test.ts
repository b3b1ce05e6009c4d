import test from 'ava';
import {AttemptOutcome} from '../../src/decisions/job_types.js';
import type {AttemptName} from '../../src/decisions/job_types.js';
import {TailBackoff} from '../../src/decisions/recovery/tail_backoff.js';
import {ResultCodes} from '../../src/observability/result_codes.js';
import {
  ShardFixture,
  report,
  specification,
  view,
} from '../jobs/shard_fixture.js';

const TAIL_PROTECTED = ResultCodes.TAIL_PROTECTED.number;
const {EVICTED} = AttemptOutcome;

function evict(fixture: ShardFixture, vm: string, name: AttemptName): void {
  fixture.accept(vm, name);
  const resultCode = TAIL_PROTECTED;
  fixture.report(vm, report(name, EVICTED, {resultCode}));
}

test('should place a task evicted for a tail latency on another VM', t => {
  const fixture = new ShardFixture();
  fixture.heartbeat(view('vm1'), view('vm2'));
  fixture.scheduler.submit(specification(), 0, 0);
  const [{vm, name}] = fixture.step();
  evict(fixture, vm, name);
  const [next] = fixture.step(100);
  t.not(next.vm, vm);
});

test('should keep only the kind that was refused off the VM', t => {
  const fixture = new ShardFixture();
  fixture.heartbeat(view('vm1'));
  fixture.scheduler.submit(specification({taskKind: 'noisy'}), 0, 0);
  const [{vm, name}] = fixture.step();
  fixture.refuse(vm, name, TAIL_PROTECTED);
  const other = specification({name: 'other', taskKind: 'quiet'});
  fixture.scheduler.submit(other, 0, 0);
  t.deepEqual(
    fixture.step(100).map(start => start.name.job),
    ['other'],
  );
});

test('should explain why a task is held back, and retry it', t => {
  const fixture = new ShardFixture();
  fixture.heartbeat(view('vm1'));
  fixture.scheduler.submit(specification({taskCount: 3}), 0, 0);
  for (const {vm, name} of fixture.step()) evict(fixture, vm, name);
  t.deepEqual(fixture.step(100), []);
  fixture.scheduler.submit(specification({name: 'later'}), fixture.now, 0);
  fixture.step(100);
  for (const job of ['build', 'later']) {
    const {summary} = fixture.scheduler.explain('depot', job)!;
    t.regex(summary, /refused or evicted its kind/);
  }
  fixture.now = 61_000;
  fixture.heartbeat(view('vm1'));
  t.is(fixture.step().length, 1);
});

test('should place an urgent task where its kind is held back', t => {
  const fixture = new ShardFixture();
  fixture.heartbeat(view('vm1'));
  fixture.scheduler.submit(specification(), 0, 0);
  const [{vm, name}] = fixture.step();
  evict(fixture, vm, name);
  const urgent = specification({name: 'now', urgency: 'urgent'});
  fixture.scheduler.submit(urgent, 0, 0);
  t.is(fixture.step(100)[0].name.job, 'now');
});

test('should double the wait up to a minute and reset it without setbacks', t => {
  const backoff = new TailBackoff();
  const waits: number[] = [];
  let now = 0;
  for (let setback = 0; setback < 6; setback++) {
    backoff.recordSetback('vm1', 'noisy', now);
    const begin = now;
    while (backoff.vmsFor('noisy')!.isHeldBack('vm1', now)) now += 1000;
    waits.push(now - begin);
  }
  t.deepEqual(waits, [5000, 10_000, 20_000, 40_000, 60_000, 60_000]);
  now += 10 * 60_000;
  backoff.recordSetback('vm1', 'noisy', now);
  t.false(backoff.vmsFor('noisy')!.isHeldBack('vm1', now + 5000));
});

test('should forget the setbacks of a pair once a task finished there', t => {
  const backoff = new TailBackoff();
  backoff.recordSetback('vm1', 'noisy', 0);
  backoff.recordSetback('vm2', 'noisy', 0);
  backoff.finished('vm1', 'noisy');
  t.deepEqual(backoff.dump(1), {noisy: ['vm2']});
});

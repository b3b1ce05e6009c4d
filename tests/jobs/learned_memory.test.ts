import test from 'ava';
import * as fastCheck from 'fast-check';
import {AttemptOutcome, LogRecordType} from '../../src/decisions/job_types.js';
import type {AttemptName, LogRecord} from '../../src/decisions/job_types.js';
import {PeakSizeLearner} from '../../src/decisions/placement/size_learner.js';
import {TailBackoff} from '../../src/decisions/recovery/tail_backoff.js';
import {WorkerQuarantine} from '../../src/decisions/recovery/worker_quarantine.js';
import {ShardScheduler} from '../../src/decisions/jobs/shard_scheduler.js';
import {ResultCodes} from '../../src/observability/result_codes.js';
import {Random} from '../../src/utilities/random.js';
import {ShardFixture, report, specification, view} from './shard_fixture.js';

/** Time until the next periodic check of the fleet. */
const SETTLE_MILLIS = 100;
const SEED = 20_261_204;
const VMS = ['vm1', 'vm2', 'vm3', 'vm4'];
const KINDS = ['route', 'index', 'scan'];
const TAIL_PROTECTED = ResultCodes.TAIL_PROTECTED.number;
const WORKER_REFUSED = ResultCodes.WORKER_REFUSED.number;
const CAPACITY = {
  milliprocessors: 64_000,
  memoryMegabytes: 64_000,
  accelerators: 0,
};

interface Step {
  readonly kind: number;
  readonly end: 'finish' | 'fail' | 'evict' | 'refuse' | 'workerFault' | 'run';
  readonly usedMegabytes: number;
  readonly advanceMillis: number;
}

const steps = fastCheck.array(
  fastCheck.record({
    kind: fastCheck.nat({max: KINDS.length - 1}),
    end: fastCheck.constantFrom<Step['end'][]>(
      'finish',
      'finish',
      'fail',
      'fail',
      'evict',
      'refuse',
      'workerFault',
      'run',
    ),
    usedMegabytes: fastCheck.nat({max: 4000}),
    advanceMillis: fastCheck.nat({max: 3000}),
  }),
  {minLength: 10, maxLength: 60},
);

/** Returns a fixture whose first VM fails the tasks that others finish. */
function run(list: readonly Step[]): ShardFixture {
  const fixture = new ShardFixture();
  for (const [index, step] of list.entries()) {
    beat(fixture.scheduler, fixture.now);
    const job = specification({
      name: `job${index}`,
      taskKind: KINDS[step.kind],
      maximumFailures: 50,
    });
    fixture.scheduler.submit(job, fixture.now, fixture.now);
    const due = fixture.step(step.advanceMillis);
    for (const {vm, name} of due) end(fixture, vm, name, step);
    fixture.commit();
  }
  return fixture;
}

function end(
  fixture: ShardFixture,
  vm: string,
  name: AttemptName,
  {end: how, usedMegabytes}: Step,
): void {
  if (how === 'refuse') return fixture.refuse(vm, name, TAIL_PROTECTED);
  if (how === 'workerFault') return fixture.refuse(vm, name, WORKER_REFUSED);
  fixture.accept(vm, name);
  if (how === 'run') return;
  const used = {...CAPACITY, milliprocessors: 1000};
  const fails = how === 'fail' || vm === VMS[0];
  const {EVICTED, FAILED, FINISHED} = AttemptOutcome;
  const outcome = fails ? FAILED : how === 'evict' ? EVICTED : FINISHED;
  const resultCode = outcome === EVICTED ? TAIL_PROTECTED : 0;
  const changes = {used: {...used, memoryMegabytes: usedMegabytes}, resultCode};
  fixture.report(vm, report(name, outcome, changes));
}

function beat(scheduler: ShardScheduler, now: number): void {
  const capacity = CAPACITY;
  for (const vm of VMS)
    scheduler.applyHeartbeat(view(vm, {capacity}), now, now);
}

/** Restores the next owner; `offset` is the wall time of its clock's zero. */
function takeOver(
  fixture: ShardFixture,
  snapshot: string,
  records: readonly LogRecord[],
  offset: number,
): ShardScheduler {
  const options = {
    shard: 0,
    random: new Random(1),
    wallTimeOffsetMillis: offset,
  };
  const next =
    snapshot === ''
      ? new ShardScheduler(options)
      : ShardScheduler.restore(snapshot, options);
  for (const record of records) next.replay(record);
  next.beginOwnership('next', 1000, fixture.now - offset, fixture.now);
  return next;
}

/** Returns the VM and the size with which a new job of each kind is placed. */
function decisions(scheduler: ShardScheduler, now: number, wallTime: number) {
  const placed = new Map<string, string>();
  scheduler.takeRecords();
  scheduler.acknowledge();
  beat(scheduler, now);
  for (const taskKind of KINDS) {
    const job = specification({name: taskKind, taskKind});
    scheduler.submit(job, now, wallTime);
  }
  scheduler.decide(now, wallTime);
  for (const record of scheduler.takeRecords()) {
    if (record.type !== LogRecordType.PLACED) continue;
    if (!KINDS.includes(record.name.job)) continue;
    const size = JSON.stringify(record.size);
    placed.set(record.name.job, `${record.vm} ${size}`);
  }
  return placed;
}

test('should make the same decisions after a takeover from a snapshot', t => {
  const property = fastCheck.property(
    steps,
    fastCheck.nat(1e6),
    (list, skew) => {
      const fixture = run(list);
      const {now, scheduler} = fixture;
      const next = takeOver(fixture, scheduler.snapshot(), [], -skew);
      t.deepEqual(
        next.quarantinedVms(now + skew),
        scheduler.quarantinedVms(now),
      );
      t.deepEqual(teamsOf(next, now + skew), teamsOf(scheduler, now));
      // Ready tasks of the old jobs would be placed before the new ones.
      for (const job of list.keys()) {
        for (const [each, time] of [
          [scheduler, now],
          [next, now + skew],
        ] as const) {
          each.cancel('depot', `job${job}`, '', time, now);
        }
      }
      const before = decisions(scheduler, now + SETTLE_MILLIS, now);
      t.deepEqual(decisions(next, now + skew + SETTLE_MILLIS, now), before);
    },
  );
  fastCheck.assert(property, {seed: SEED, numRuns: 200});
});

test('should quarantine the same workers after a replay of the whole log', t => {
  const property = fastCheck.property(steps, list => {
    const fixture = run(list);
    const {log, now, scheduler} = fixture;
    const next = takeOver(fixture, '', log, 0);
    t.deepEqual(next.quarantinedVms(now), scheduler.quarantinedVms(now));
    t.deepEqual(teamsOf(next, now), teamsOf(scheduler, now));
  });
  fastCheck.assert(property, {seed: SEED, numRuns: 200});
});

test('should reserve the same size after a replay as the earlier owner', t => {
  const fixture = new ShardFixture();
  beat(fixture.scheduler, 0);
  fixture.scheduler.submit(specification({taskCount: 2}), 0, 0);
  const [first, second] = fixture.step();
  const used = {...CAPACITY, milliprocessors: 1500, memoryMegabytes: 2000};
  fixture.accept(first.vm, first.name);
  fixture.accept(second.vm, second.name);
  const {FINISHED} = AttemptOutcome;
  fixture.report(first.vm, report(first.name, FINISHED, {used}));
  fixture.scheduler.submit(specification({name: 'again'}), 0, 0);
  fixture.step(100);
  const next = takeOver(fixture, '', fixture.log, 0);
  t.regex(
    decisions(next, 100, 100).get('route')!,
    /"memoryMegabytes":(2199|2200)/,
  );
});

test('should read a snapshot with learned state missing or of another format', t => {
  const scheduler = new ShardFixture().scheduler;
  const options = {shard: 0, random: new Random(1)};
  const whole = JSON.parse(scheduler.snapshot()) as {learned?: object};
  const other = {...whole, learned: {format: 99}};
  const without = {...whole, learned: undefined};
  for (const text of [other, without].map(each => JSON.stringify(each))) {
    t.notThrows(() => ShardScheduler.restore(text, options));
  }
});

test('should bound the learned state in a snapshot', t => {
  const learner = new PeakSizeLearner();
  const judge = new WorkerQuarantine();
  const backoff = new TailBackoff();
  for (let index = 0; index < 5000; index++) {
    learner.record('depot', `a-kind-of-task-${index}`, CAPACITY, 1000, true);
    judge.recordFailure(`accra-kaneshie-worker-${index}`, 'route', 0);
    backoff.recordSetback(`accra-kaneshie-worker-${index}`, 'scan', 0);
  }
  const rows = [learner.rows(), judge.rows(1e12), backoff.rows(1e12)];
  t.deepEqual(
    rows.map(({length}) => length),
    [512, 128, 256],
  );
  const bytes = JSON.stringify(rows).length;
  t.log(`${bytes} bytes`);
  t.true(bytes < 100_000);
  t.regex(JSON.stringify(rows[0]), /a-kind-of-task-4999/);
});

function teamsOf(scheduler: ShardScheduler, now: number): object {
  const {teams} = scheduler.dump(now) as {
    teams: Record<string, {used: object; runningTasks: number}>;
  };
  const open = Object.entries(teams).filter(([, team]) => team.runningTasks);
  return open.map(([name, {used, runningTasks}]) => [name, used, runningTasks]);
}

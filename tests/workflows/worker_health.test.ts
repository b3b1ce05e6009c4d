import test from 'ava';
import {WorkerHealth} from '../../src/decisions/workflows/worker_health.js';
import {
  put,
  stepOf,
  workerOf,
  workflowOf,
} from './fixtures/workflow_builders.js';

const COOLDOWN_MILLIS = 3_000;

test('should clear workers of the failures of a workflow that fails on several', t => {
  const health = new WorkerHealth();
  t.false(health.recordFailure('one', 'hopeless', 0));
  t.true(health.recordFailure('one', 'other', 0));
  t.is(health.allowance('one', 0, 100), 0);
  t.false(health.recordFailure('two', 'hopeless', 200));
  t.true(health.isAtFault('hopeless'));
  t.is(health.allowance('one', 0, 300), Infinity);
  t.is(health.suspicion('one'), 2);
});

test('should charge workers again once the workflow has worked elsewhere', t => {
  const health = new WorkerHealth();
  health.recordFailure('one', 'a', 0);
  health.recordFailure('two', 'a', 0);
  health.recordFailure('one', 'b', 0);
  t.is(health.allowance('one', 0, 100), Infinity);
  t.deepEqual(health.recordSuccess('three', 'a', 500), ['one']);
  t.is(health.allowance('one', 0, 600), 0);
  t.is(health.allowance('two', 0, 600), Infinity);
});

test('should not find a workflow at fault while untried runs of it go on', t => {
  const health = new WorkerHealth();
  const failure = {
    isUndecided: (failedOn: ReadonlySet<string>) => !failedOn.has('three'),
  };
  for (const worker of ['one', 'two'])
    health.recordFailure(worker, 'a', 0, failure);
  t.false(health.isAtFault('a'));
  health.recordFailure('three', 'a', 0, failure);
  t.true(health.isAtFault('a'));
});

// Guards against workflows that use up their attempts while the pool fails all.
test('should hold the failures of many workflows in succession against workers', t => {
  const health = new WorkerHealth();
  for (const workflow of ['a', 'b', 'c']) {
    health.recordFailure('one', workflow, 0);
    health.recordFailure('two', workflow, 0);
  }
  for (const worker of ['one', 'two']) {
    t.is(health.allowance(worker, 0, 100), 0);
  }
  t.false(health.isAtFault('a'));
  health.recordSuccess('three', 'd', 200);
  t.true(health.isAtFault('a'));
  t.is(health.allowance('one', 0, 300), Infinity);
});

test('should end a cooldown once a run comes further than those that failed', t => {
  const health = new WorkerHealth();
  const view = workerOf('one');
  const extent = {workedMillis: 200, percent: 10};
  health.recordFailure('one', 'a', 0, extent);
  const name = put(view, workflowOf('c', [stepOf()]), 0, 10);
  view.placed.get(name)!.placedAt = 50;
  health.recordFailure('one', 'b', 100, extent);
  const later = put(view, workflowOf('d', [stepOf()]), 0, 10);
  view.placed.get(later)!.placedAt = 200;
  const advance = (now: number, percent: number): number => {
    for (const run of view.running.values()) Object.assign(run, {percent});
    health.observe(view, now, () => true);
    return health.allowanceOf(view, now);
  };
  t.is(advance(800, 50), 0);
  t.is(advance(1_000, 10), 0);
  t.is(advance(1_000, 50), Infinity);
  // A further failure starts a longer cooldown.
  health.recordFailure('one', 'e', 1_100);
  health.recordFailure('one', 'f', 1_100);
  t.is(health.allowance('one', 0, 1_100 + COOLDOWN_MILLIS), 0);
});

test('should allow one task on a worker as the last resort, a second after a failure', t => {
  const health = new WorkerHealth();
  const view = workerOf('one');
  health.recordFailure('one', 'a', 0);
  health.recordFailure('one', 'b', 0);
  t.is(health.allowancesOf(view, 900).lastResortTasks, 0);
  t.is(health.allowancesOf(view, 1_000).lastResortTasks, 1);
  const name = put(view, workflowOf('c', [stepOf()]), 0);
  view.placed.get(name)!.placedAt = 1_000;
  t.is(health.allowancesOf(view, 1_100).lastResortTasks, 0);
  health.recordRefusal('two', 0);
  t.is(health.allowancesOf(workerOf('two'), 300).lastResortTasks, 0);
});

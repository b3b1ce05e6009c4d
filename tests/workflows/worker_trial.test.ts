import test from 'ava';
import {WorkerHealth} from '../../src/decisions/workflows/worker_health.js';
import type {WorkerView} from '../../src/decisions/workflows/worker_view.js';
import {VirtualPool} from './fixtures/virtual_pool.js';
import {
  put,
  stepOf,
  workerOf,
  workflowOf,
} from './fixtures/workflow_builders.js';

const LASTING = stepOf({lasting: true});
const COOLDOWN_MILLIS = 3_000;
const MAXIMUM_TRIAL_MILLIS = 12_000;

/** Places a task at the time; lasting ones are at work from the beginning. */
function place(
  view: WorkerView,
  id: string,
  placedAt: number,
  step = stepOf(),
): void {
  const name = put(view, workflowOf(id, [step]), 0, step.lasting ? 100 : 0);
  view.placed.get(name)!.placedAt = placedAt;
}

// Guards against a worker on trial that never gets work again, as the runs that
// went on through its cooldown use up its allowance.
test('should allow a task on trial beside runs from before the cooldown', t => {
  const health = new WorkerHealth();
  const view = workerOf('one');
  place(view, 'lasting', 0, LASTING);
  place(view, 'long', 0);
  health.recordStall('one', 1_000);
  t.is(health.allowanceOf(view, 1_500), 0);
  const now = 1_000 + COOLDOWN_MILLIS;
  t.is(health.allowanceOf(view, now), 1);
  place(view, 'trial', now);
  t.is(health.allowanceOf(view, now + 100), 0);
});

test('should allow a further task on trial once a long-running one is at work', t => {
  const health = new WorkerHealth();
  const view = workerOf('one');
  health.recordStall('one', 1_000);
  const now = 1_000 + COOLDOWN_MILLIS;
  place(view, 'lasting', now, LASTING);
  t.is(health.allowanceOf(view, now + 100), 1);
  t.is(health.suspicion('one'), 1);
});

// A gang with several members on a worker can't be placed there on trial.
test('should end a trial in which nothing has failed for a long time', t => {
  const health = new WorkerHealth();
  const view = workerOf('one');
  health.recordStall('one', 1_000);
  const end = 1_000 + COOLDOWN_MILLIS + MAXIMUM_TRIAL_MILLIS;
  t.is(health.allowanceOf(view, end - 1), 1);
  t.is(health.allowanceOf(view, end), Infinity);
  t.is(health.suspicion('one'), 1);
  health.recordStall('one', end);
  t.is(health.allowanceOf(view, end + COOLDOWN_MILLIS), 0);
});

// The same in a pool: tasks that can run on one worker only wait for it.
test('should run tasks on a worker whose runs stood still beside a long-running one', async t => {
  const pool = new VirtualPool({seed: 91});
  const step = {Count: 4, Cpu: 500, MemMb: 100, EstimateMs: 2_000};
  const labelled = {...step, Requires: 'special'};
  pool.workers[0].labels = ['special', 'r1'];
  await pool.run(3_000);
  const lasting = {...labelled, Count: 1, LongRunning: true};
  await pool.submit('00000000000000d1', [lasting], {
    millis: 600_000,
    lasting: true,
  });
  await pool.submit('00000000000000d2', [labelled], {millis: 2_000});
  await pool.run(700);
  pool.workers[0].faults.hanging = true;
  await pool.run(4_000);
  pool.workers[0].faults.hanging = false;
  await pool.submit('00000000000000d3', [labelled], {millis: 500});
  await pool.run(12_000);
  t.is(await pool.state('00000000000000d2'), 'done');
  t.is(await pool.state('00000000000000d3'), 'done');
  t.deepEqual(pool.history.violations(), []);
});

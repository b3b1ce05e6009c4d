import test from 'ava';
import {
  ASANTEWAA,
  SECOND,
  basePlan,
  drawJobs,
} from '../../bench/batch/batch_plans.js';
import {BatchSimulation, PRODUCT} from '../../bench/batch/batch_simulation.js';

type Fault = (run: BatchSimulation) => void;

const FAULT_AT = 30 * SECOND;

function simulate(fault?: Fault): BatchSimulation {
  const durationMillis = 150 * SECOND;
  const plan = {...basePlan(ASANTEWAA, {load: 1.3}), durationMillis};
  const run = new BatchSimulation({
    vms: plan.vms,
    shards: plan.shards,
    durationMillis,
    jobs: drawJobs(plan, 1),
    policySet: PRODUCT,
    seed: 1,
    faults: fault ? [{at: FAULT_AT, run: fault}] : [],
  });
  run.run();
  return run;
}

test('should give the same figures for the same seed', t => {
  const [one, other] = [simulate().metrics, simulate().metrics];
  t.true(one.finishedTasks > 0);
  t.deepEqual(one, other);
});

test('should start nothing twice when a paused owner comes back', t => {
  const {metrics} = simulate(run => run.freezeEntry(0, 30_000, 12_000));
  t.is(metrics.doubledStarts, 0);
  t.is(metrics.lostAttempts, 0);
  t.true(metrics.finishedTasks > 0.9 * simulate().metrics.finishedTasks);
});

test('should stop tasks with a checkpoint when no owner renews their lease', t => {
  const {metrics} = simulate(run => run.killEntry(0, 60_000));
  t.true(metrics.evictions > 0);
  t.is(metrics.doubledStarts, 0);
  t.is(metrics.wastedWork, 0);
});

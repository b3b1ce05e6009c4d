import test from 'ava';
import {VirtualPool} from './fixtures/virtual_pool.js';

const ID = '00000000000000f5';
/** More than twice the ends that a worker lists at a time. */
const TASKS = 1_200;
const STEP = {Count: TASKS, Cpu: 1, MemMb: 1, EstimateMs: 300};

/** Starts all tasks on one worker; they end while no end is acknowledged. */
async function endAllUnacknowledged(pool: VirtualPool): Promise<void> {
  await pool.run(3_000);
  await pool.submit(ID, [STEP], {millis: 300});
  while (pool.history.runs.length === 0) await pool.run(5);
  pool.store.faults.down = true;
  // Shorter than the owner's lease: it goes on.
  await pool.run(900);
  pool.store.faults.down = false;
}

// Guards against runs whose end stands beyond the listed ones and that counted
// as never begun: their tasks were started again.
test('should not start tasks again whose starts got no answer beside many ends', async t => {
  const pool = new VirtualPool({seed: 131, workers: 1});
  // Executed at once, without a response.
  pool.workers[0].faults.lateStartMillis = 1;
  await endAllUnacknowledged(pool);
  pool.workers[0].faults.lateStartMillis = 0;
  await pool.run(20_000);
  t.is(await pool.state(ID), 'done');
  t.is(pool.history.runs.length, TASKS);
  t.deepEqual(pool.history.violations(), []);
});

// The same for an agent that knows nothing of the runs before its start.
test('should not start tasks again after a restart of the agent beside many ends', async t => {
  const pool = new VirtualPool({seed: 132, workers: 1});
  await endAllUnacknowledged(pool);
  pool.restartAgent(0);
  await pool.run(20_000);
  t.is(await pool.state(ID), 'done');
  t.is(pool.history.runs.length, TASKS);
  t.deepEqual(pool.history.violations(), []);
});

// The same for runs that a new owner stops, or orders again.
test('should not start tasks again after a change of the owner beside many ends', async t => {
  const pool = new VirtualPool({seed: 133, workers: 1, entries: 3});
  await endAllUnacknowledged(pool);
  pool.killEntry(pool.ownerName!);
  await pool.run(20_000);
  t.is(await pool.state(ID), 'done');
  t.is(pool.history.runs.length, TASKS);
  t.deepEqual(pool.history.violations(), []);
});

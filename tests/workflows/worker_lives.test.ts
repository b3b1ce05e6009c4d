import test from 'ava';
import type {WorkerReport} from '../../src/backends/leased_worker.js';
import type {ObservedRun} from './fixtures/fleet_history.js';
import {VirtualPool} from './fixtures/virtual_pool.js';

const ID = '00000000000000c1';
const LASTING_ID = '00000000000000c2';
const STEP = {Count: 6, Cpu: 500, MemMb: 100, EstimateMs: 3_000};
const LASTING_STEP = {...STEP, LongRunning: true};

/** Returns a readable report that names a worker which does not exist. */
function foreignReport(pool: VirtualPool): WorkerReport {
  const startedAt = pool.clock.now();
  return {
    ...pool.workers[0].report(),
    id: 'foreign',
    incarnation: `foreign@${startedAt}`,
    startedAt,
    address: 'foreign',
  };
}

/** Starts an ordinary and a long-running workflow on all workers. */
async function startWorkflows(pool: VirtualPool): Promise<void> {
  await pool.run(3_000);
  await pool.submit(ID, [STEP], {millis: 3_000});
  await pool.submit(LASTING_ID, [LASTING_STEP], {
    millis: 600_000,
    lasting: true,
  });
  await pool.run(500);
}

/** Restarts the first worker under its id, as fast as one can. */
async function restartUnderItsId(pool: VirtualPool): Promise<void> {
  pool.workers[0].crash();
  await pool.run(50);
  pool.workers[0].restart({keepsId: true});
}

/**
 * Restarts the first worker under its id. It then carries out a start that was
 * for the former incarnation. Returns the run that was lost.
 */
async function restartWithLateStart(
  pool: VirtualPool,
  millis: number,
): Promise<ObservedRun> {
  const [worker] = pool.workers;
  const [lost] = pool.history.runs.filter(
    run => run.worker === worker.name && run.task.startsWith(ID),
  );
  await restartUnderItsId(pool);
  void worker.connect(worker.id).start({
    task: lost.task,
    run: lost.run,
    payload: JSON.stringify({millis}),
    checkpoint: '',
    ticket: '',
    leaseEnd: 60_000,
    fencingToken: 1,
  });
  return lost;
}

/** Returns the names of the workers on which the workflow runs now. */
function workersRunning(pool: VirtualPool, id: string): string[] {
  return pool.history.runs
    .filter(({task, endedAt}) => task.startsWith(id) && endedAt === undefined)
    .map(({worker}) => worker);
}

// Guards against runs that stay placed on a lost worker because the replies to
// its agent, which has no worker any more, count as grants of its lease.
test('should restart the runs of a lost worker whose agent has restarted', async t => {
  const pool = new VirtualPool({seed: 61});
  await startWorkflows(pool);
  t.true(workersRunning(pool, ID).includes('worker-0'));
  pool.workers[0].crash();
  await pool.run(1_000);
  pool.restartAgent(0);
  await pool.run(15_000);
  t.is(await pool.state(ID), 'done');
  t.is(workersRunning(pool, LASTING_ID).length, LASTING_STEP.Count);
  t.deepEqual(pool.history.violations(), []);
});

// The same, where the owner that has granted the lease is gone as well.
test('should restart the runs of a lost worker after agent and owner have restarted', async t => {
  const pool = new VirtualPool({seed: 62});
  await startWorkflows(pool);
  pool.workers[0].crash();
  await pool.run(500);
  pool.restartAgent(0);
  const owner = pool.ownerName!;
  pool.killEntry(owner);
  await pool.run(500);
  pool.restartEntry(owner);
  await pool.run(20_000);
  t.is(await pool.state(ID), 'done');
  t.is(workersRunning(pool, LASTING_ID).length, LASTING_STEP.Count);
  t.deepEqual(pool.history.violations(), []);
});

// Guards against the opposite: runs of a live worker given up while its agent
// has not heard from it since its restart.
test('should keep the runs of a live worker whose agent has restarted', async t => {
  const pool = new VirtualPool({seed: 63});
  await startWorkflows(pool);
  const started = pool.history.runs.length;
  pool.restartAgent(0);
  await pool.run(15_000);
  t.is(await pool.state(ID), 'done');
  t.is(pool.history.runs.length, started);
});

// Guards against a report of another writer that replaces the real worker: its
// runs were started again elsewhere while they went on.
test('should keep the runs of a worker while a report names another one', async t => {
  const pool = new VirtualPool({seed: 64});
  await startWorkflows(pool);
  const started = pool.history.runs.length;
  for (let reports = 0; reports < 5; reports++) {
    pool.sendReport(0, foreignReport(pool));
    await pool.run(700);
  }
  await pool.run(8_000);
  t.is(await pool.state(ID), 'done');
  t.is(pool.history.runs.length, started);
  t.deepEqual(pool.history.violations(), []);
});

// The same while the agent knows no worker, and so believes the first report.
test('should keep the runs of a worker when its restarted agent first gets a report of another one', async t => {
  const pool = new VirtualPool({seed: 65});
  await startWorkflows(pool);
  const started = pool.history.runs.length;
  pool.restartAgent(0, foreignReport(pool));
  await pool.run(8_000);
  t.is(await pool.state(ID), 'done');
  t.is(pool.history.runs.length, started);
  t.deepEqual(pool.history.violations(), []);
});

// Guards against the opposite: a real worker ignored, as its time of day went
// back while it restarted.
test('should use a restarted worker whose start time is lower than before', async t => {
  const pool = new VirtualPool({seed: 66, workers: 1});
  await pool.run(3_000);
  pool.workers[0].restart();
  await pool.run(3_000);
  pool.workers[0].restart({startedAt: 5});
  await pool.run(3_000);
  await pool.submit(ID, [STEP], {millis: 500});
  await pool.run(4_000);
  t.is(await pool.state(ID), 'done');
  t.deepEqual(pool.history.violations(), []);
});

// Guards against a restart under the same id that nobody notices until the next
// report: starts of the former incarnation were carried out by the new one, and
// its runs were then given up while they went on.
for (let seed = 70; seed < 76; seed++) {
  test(`should run no task twice when a worker restarts under its id, seed ${seed}`, async t => {
    const pool = new VirtualPool({seed, reportMillis: 1_500});
    await startWorkflows(pool);
    await pool.run(250 * (seed - 70));
    await restartUnderItsId(pool);
    await pool.run(12_000);
    t.is(await pool.state(ID), 'done');
    t.is(workersRunning(pool, LASTING_ID).length, LASTING_STEP.Count);
    t.deepEqual(pool.history.violations(), []);
  });
}

// A start for the former incarnation may arrive before the agent knows the new
// one, which then runs the task, and ends it or not before it is stopped.
for (const millis of [10, 30_000]) {
  test(`should not start a task again while a restarted worker runs it for ${millis} ms`, async t => {
    const pool = new VirtualPool({seed: 76});
    await startWorkflows(pool);
    await restartWithLateStart(pool, millis);
    await pool.run(15_000);
    t.is(await pool.state(ID), 'done');
    t.deepEqual(pool.history.violations(), []);
  });
}

// Guards against ends of the new incarnation that are acknowledged unseen, by
// their low numbers, and so run again: with real processes this came in masses.
test('should take note of an end although the former incarnation had more', async t => {
  const pool = new VirtualPool({seed: 80, workers: 2, reportMillis: 1_500});
  await pool.run(3_000);
  await pool.submit('00000000000000c0', [STEP], {millis: 200});
  await startWorkflows(pool);
  const lost = await restartWithLateStart(pool, 10);
  await pool.run(15_000);
  const runs = pool.history.runs.filter(({task}) => task === lost.task);
  t.deepEqual(
    runs.map(({run, outcome}) => [run, outcome]),
    [
      [lost.run, 'crashed'],
      [lost.run, 'done'],
    ],
  );
  t.is(await pool.state(ID), 'done');
  t.deepEqual(pool.history.violations(), []);
});

// Guards against a late report of the former incarnation that takes the place
// of the new one under the same id.
test('should ignore a late report of a former incarnation with the same id', async t => {
  const pool = new VirtualPool({seed: 77, workers: 1});
  await startWorkflows(pool);
  const late = {...pool.workers[0].report(), sequence: 1_000};
  await restartUnderItsId(pool);
  await pool.run(1_500);
  pool.sendReport(0, late);
  await pool.run(12_000);
  t.is(await pool.state(ID), 'done');
  t.is(workersRunning(pool, LASTING_ID).length, LASTING_STEP.Count);
  t.deepEqual(pool.history.violations(), []);
});

// Guards against the opposite: a worker ignored for good after odd run lists.
test('should use a worker again whose run lists named another start time', async t => {
  const pool = new VirtualPool({seed: 78, workers: 1});
  await pool.run(3_000);
  pool.workers[0].faults.misreportsStart = true;
  await pool.run(2_000);
  pool.workers[0].faults.misreportsStart = false;
  await pool.run(2_000);
  await pool.submit(ID, [STEP], {millis: 500});
  await pool.run(4_000);
  t.is(await pool.state(ID), 'done');
  t.deepEqual(pool.history.violations(), []);
});

// The same for a worker that closes each connection after one response.
test('should use a worker that keeps no connections open', async t => {
  const pool = new VirtualPool({seed: 79});
  for (const worker of pool.workers) worker.faults.closesConnections = true;
  await startWorkflows(pool);
  const started = pool.history.runs.length;
  await pool.run(15_000);
  t.is(await pool.state(ID), 'done');
  t.is(pool.history.runs.length, started);
  t.deepEqual(pool.history.violations(), []);
});

// Guards against a live worker given up for that of another VM, which sends its
// reports elsewhere while its own agent is away: tasks ran twice in masses.
test('should keep a live worker when that of another agent reports to its agent', async t => {
  const pool = new VirtualPool({seed: 81});
  await startWorkflows(pool);
  const started = pool.history.runs.length;
  pool.killAgent(1);
  for (let reports = 0; reports < 4; reports++) {
    pool.sendReport(0, pool.workers[1].report());
    await pool.run(500);
  }
  pool.restartAgent(1);
  await pool.run(8_000);
  t.is(await pool.state(ID), 'done');
  t.is(pool.history.runs.length, started);
  t.deepEqual(pool.history.violations(), []);
});

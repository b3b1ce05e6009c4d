import test from 'ava';
import {
  guaranteedExpiryMillis,
  runLeaseMillis,
} from '../../src/decisions/workflows/lease_duration.js';
import {decodeCommit} from '../../src/protocol/owner_record.js';
import {StoreKeys} from '../../src/protocol/store_keys.js';
import {VirtualPool} from './fixtures/virtual_pool.js';

const ID = '00000000000000d1';
const STEP = {
  Count: 6,
  Cpu: 500,
  MemMb: 100,
  EstimateMs: 3_000,
  LongRunning: true,
};
const ORDINARY_STEP = {...STEP, Count: 4, LongRunning: false};
const BEHAVIOR = {millis: 600_000, lasting: true};

/**
 * Time in which a long-running task has to run again after the last of several
 * disturbances: the platform's 3 s of contact, 4 s of calm, and 3 s more.
 */
const MAXIMUM_ABSENCE_MILLIS = 10_000;
/** The longest lease that the workers of any deployment allow. */
const LONGEST_LEASE_MILLIS = 10_000;
/** How long the tick, a commit and a start take. */
const PLACEMENT_MILLIS = 400;
/** When a lease of the pool's workers has ended for sure. */
const EXPIRY_MILLIS = guaranteedExpiryMillis(runLeaseMillis(6_000));

async function startWorkflow(pool: VirtualPool): Promise<void> {
  await pool.run(3_000);
  await pool.submit(ID, [STEP], BEHAVIOR);
  await pool.run(500);
}

/** Restarts the owner of the pool and the agent of the first worker. */
async function restartOwnerAndAgent(pool: VirtualPool): Promise<void> {
  const owner = pool.ownerName!;
  pool.killAgent(0);
  pool.killEntry(owner);
  await pool.run(500);
  pool.restartAgent(0);
  pool.restartEntry(owner);
}

function countRunning(pool: VirtualPool): number {
  return pool.history.runs.filter(
    ({task, endedAt}) => task.startsWith(ID) && endedAt === undefined,
  ).length;
}

// Guards against a lease that a new owner counts from its own claim, although
// the agent that passes it on had ended before.
test('should count the lease of a lost worker from the restart of its agent', async t => {
  const pool = new VirtualPool({seed: 91});
  await startWorkflow(pool);
  pool.workers[0].crash();
  await restartOwnerAndAgent(pool);
  await pool.run(EXPIRY_MILLIS + PLACEMENT_MILLIS);
  t.is(countRunning(pool), STEP.Count);
  t.deepEqual(pool.history.violations(), []);
});

// Guards against a long-running task that is away for longer than callers bear,
// as the lease of its lost worker is long and counted from the last restart.
test('should restart a long-running task in time after its worker is lost and agent and owner restart', async t => {
  const pool = new VirtualPool({
    seed: 92,
    maximumLeaseMillis: LONGEST_LEASE_MILLIS,
  });
  await startWorkflow(pool);
  pool.workers[0].crash();
  await restartOwnerAndAgent(pool);
  await pool.run(MAXIMUM_ABSENCE_MILLIS);
  t.is(countRunning(pool), STEP.Count);
  t.deepEqual(pool.history.violations(), []);
});

// Guards against a lease that is granted to a lost worker for as long as its
// agent lives: the agent, which knows better, was then lost with what it knew.
test('should count the lease of a lost worker from its silence when its agent is lost later', async t => {
  const pool = new VirtualPool({seed: 94});
  await startWorkflow(pool);
  pool.workers[0].crash();
  await pool.run(5_000);
  pool.killAgent(0);
  const silenceMillis = 1_500 + 450;
  await pool.run(silenceMillis + EXPIRY_MILLIS + PLACEMENT_MILLIS - 5_000);
  t.is(countRunning(pool), STEP.Count);
  t.deepEqual(pool.history.violations(), []);
});

// Guards against the opposite: a worker that was silent for a while gets no lease
// any more, and its runs end.
test('should keep the runs of a worker that responds again after its silence', async t => {
  const pool = new VirtualPool({seed: 95});
  await startWorkflow(pool);
  const started = pool.history.runs.length;
  for (let times = 0; times < 3; times++) {
    pool.workers[0].faults.silent = true;
    await pool.run(4_000);
    pool.workers[0].faults.silent = false;
    await pool.run(1_000);
  }
  await pool.run(8_000);
  t.is(countRunning(pool), STEP.Count);
  t.is(pool.history.runs.length, started);
});

// Guards against a long-running task that waits for the longest cooldowns of all
// workers, although what made their tasks fail has ended long before.
test('should restart a lost long-running task in time after all workers have failed', async t => {
  const pool = new VirtualPool({seed: 96});
  await startWorkflow(pool);
  for (const worker of pool.workers) worker.faults.failing = true;
  pool.workers[0].crash();
  for (let number = 10; number < 32; number++) {
    await pool.submit(`00000000000000${number}`, [ORDINARY_STEP], {millis: 50});
    await pool.run(500);
  }
  for (const worker of pool.workers) worker.faults.failing = false;
  await pool.run(MAXIMUM_ABSENCE_MILLIS);
  t.is(countRunning(pool), STEP.Count);
});

// Guards against the opposite: tasks started again and again on workers that
// fail them, as long-running ones don't wait for the end of a cooldown.
test('should try a long-running task at most once in three seconds on a worker that fails all', async t => {
  const pool = new VirtualPool({seed: 97, workers: 2});
  await startWorkflow(pool);
  for (const worker of pool.workers) worker.faults.failing = true;
  pool.workers[0].crash();
  for (let number = 10; number < 30; number++) {
    await pool.submit(`00000000000000${number}`, [ORDINARY_STEP], {millis: 50});
    await pool.run(500);
  }
  const from = pool.clock.now();
  await pool.run(12_000);
  const tried = pool.history.runs.filter(
    ({task, startedAt}) => task.startsWith(ID) && startedAt >= from,
  );
  t.true(tried.length <= 5, `${tried.length} starts`);
});

// The same where the agent is lost for good, so that nobody knows when it last
// extended the lease.
test('should restart a long-running task in time after its worker and agent are lost and the owner restarts', async t => {
  const pool = new VirtualPool({
    seed: 99,
    maximumLeaseMillis: LONGEST_LEASE_MILLIS,
  });
  await startWorkflow(pool);
  pool.workers[0].crash();
  const owner = pool.ownerName!;
  pool.killAgent(0);
  pool.killEntry(owner);
  await pool.run(500);
  pool.restartEntry(owner);
  await pool.run(MAXIMUM_ABSENCE_MILLIS);
  t.is(countRunning(pool), STEP.Count);
  t.deepEqual(pool.history.violations(), []);
});

// The opposite: an owner whose key was removed early may still grant leases.
test('should wait for an earlier owner whose lease goes on', async t => {
  const pool = new VirtualPool({
    seed: 100,
    maximumLeaseMillis: LONGEST_LEASE_MILLIS,
  });
  await startWorkflow(pool);
  const owner = pool.ownerName!;
  // Keeps the owner from noticing, and its grants from being stored.
  pool.store.partitioned.add(owner);
  pool.store.revoke(StoreKeys.OWNER);
  await pool.run(1_500);
  t.not(pool.ownerName, owner);
  t.deepEqual(pool.history.violations(), []);
  pool.killAgent(0);
  pool.workers[0].crash();
  pool.store.partitioned.delete(owner);
  const record = decodeCommit(pool.store.read(StoreKeys.COMMITS)!);
  t.false(record!.isSole);
  await pool.run(3_000);
  await pool.submit('00000000000000ff', [ORDINARY_STEP], {millis: 50});
  await pool.run(1_000);
  t.true(decodeCommit(pool.store.read(StoreKeys.COMMITS)!)!.isSole);
  await pool.run(12_000);
  t.is(countRunning(pool), STEP.Count);
  t.deepEqual(pool.history.violations(), []);
});

// Guards against the opposite: runs given up while they go on, on a worker that
// lives and that its restarted agent can't reach.
for (const cutAfterMillis of [0, 200, 400, 700, 1_200, 2_000, 3_000]) {
  test(`should run no task twice when a live worker is cut off ${cutAfterMillis} ms after agent and owner restart`, async t => {
    const pool = new VirtualPool({
      seed: 93,
      maximumLeaseMillis: LONGEST_LEASE_MILLIS,
    });
    await startWorkflow(pool);
    await restartOwnerAndAgent(pool);
    await pool.run(cutAfterMillis);
    pool.workers[0].faults.silent = true;
    await pool.run(15_000);
    t.is(countRunning(pool), STEP.Count);
    t.deepEqual(pool.history.violations(), []);
  });
}

// The same where the restarted agent never hears of the worker, so that the
// owner alone decides when its lease has ended.
for (const cutBeforeMillis of [0, 50, 150, 250, 350, 450]) {
  test(`should run no task twice when a live worker is cut off ${cutBeforeMillis} ms before agent and owner restart`, async t => {
    const pool = new VirtualPool({
      seed: 98,
      maximumLeaseMillis: LONGEST_LEASE_MILLIS,
    });
    await startWorkflow(pool);
    pool.workers[0].faults.unreported = true;
    pool.workers[0].faults.silent = true;
    await pool.run(cutBeforeMillis);
    await restartOwnerAndAgent(pool);
    await pool.run(15_000);
    t.is(countRunning(pool), STEP.Count);
    t.deepEqual(pool.history.violations(), []);
  });
}

import test from 'ava';
import {isTombstone} from '../../src/decisions/workflows/workflow_codec.js';
import {specKey, StoreKeys} from '../../src/protocol/store_keys.js';
import {VirtualPool} from './fixtures/virtual_pool.js';

const ID = '00000000000000e1';
const STEP = {Count: 2, Cpu: 500, MemMb: 100, EstimateMs: 1_000};
const BEHAVIOR = {millis: 1_000};
const RETENTION_MILLIS = 120_000;
const TOMBSTONE_MILLIS = 60_000;
/** A lease that tombstones share begins up to half a minute before them. */
const LEASE_SHARING_MILLIS = 30_000;

async function startPool(seed: number): Promise<VirtualPool> {
  const pool = new VirtualPool({seed});
  await pool.run(3_000);
  return pool;
}

/** Submits a workflow whose write gets no answer and is executed later. */
async function submitLate(
  pool: VirtualPool,
  lateMillis: number,
): Promise<number> {
  const {faults} = pool.store;
  Object.assign(faults, {lostResponseShare: 1, lateMillis});
  const request = pool.requestSubmission(ID, [STEP], BEHAVIOR)!;
  await pool.run(10);
  faults.lostResponseShare = 0;
  await pool.run(1_000);
  return (await request).status;
}

function tombstoneOf(pool: VirtualPool, id = ID): boolean {
  return isTombstone(pool.store.read(specKey(id)) ?? '');
}

// Guards against a job that runs although its cancelling was answered with 410,
// as the write of its submission was still on its way.
for (const entry of [0, 1]) {
  test(`should not run a workflow whose write arrives after its cancellation through entry ${entry}`, async t => {
    const pool = await startPool(121);
    t.is(await submitLate(pool, 5_000), 504);
    t.is(await pool.cancel(ID, `entry-${entry}`), 410);
    await pool.run(10_000);
    t.is(await pool.state(ID), undefined);
    t.deepEqual(pool.history.runs, []);
  });
}

test('should cancel a workflow whose write arrives before its cancellation', async t => {
  const pool = await startPool(122);
  t.is(await submitLate(pool, 500), 504);
  t.is(await pool.cancel(ID), 200);
  await pool.run(5_000);
  t.is(await pool.state(ID), 'cancelled');
  t.deepEqual(pool.history.violations(), []);
});

// Guards against a repeat of the submission that runs the cancelled job.
test('should keep a workflow cancelled when its submission is repeated', async t => {
  const pool = await startPool(123);
  t.is(await submitLate(pool, 5_000), 504);
  t.is(await pool.cancel(ID), 410);
  t.is(await pool.submit(ID, [STEP], BEHAVIOR, 'entry-1'), 200);
  t.is(await pool.state(ID), 'cancelled');
  t.is(await pool.submit(ID, [STEP], BEHAVIOR), 200);
  await pool.run(10_000);
  for (const entry of pool.entryNames) {
    t.is(await pool.state(ID, entry), 'cancelled');
  }
  t.deepEqual(pool.history.runs, []);
  pool.killEntry(pool.ownerName!);
  await pool.run(5_000);
  t.is(await pool.state(ID), 'cancelled');
  // The record of the end is removed like that of any workflow.
  await pool.run(2 * RETENTION_MILLIS);
  t.is(pool.store.read(specKey(ID)), undefined);
});

// The answer to a first submission may be read back after its cancellation.
test('should not notify the owner of a workflow that it reads back as ended', async t => {
  const pool = await startPool(124);
  const {faults} = pool.store;
  Object.assign(faults, {lostResponseShare: 1, lateMillis: 900});
  const first = pool.requestSubmission(ID, [STEP], BEHAVIOR, 'entry-0');
  await pool.run(10);
  faults.lostResponseShare = 0;
  t.is(await pool.cancel(ID, 'entry-1'), 410);
  t.is(await pool.submit(ID, [STEP], BEHAVIOR, 'entry-1'), 200);
  await pool.run(8_000);
  await first;
  t.is(await pool.state(ID), 'cancelled');
  t.deepEqual(pool.history.runs, []);
});

// Guards against tombstones that stay for ever, or that end too soon.
test('should accept the id again once no late write can come', async t => {
  const pool = await startPool(125);
  t.is(await pool.cancel(ID), 410);
  t.true(tombstoneOf(pool));
  t.is(await pool.cancel(ID), 410);
  await pool.run(TOMBSTONE_MILLIS - 1_000);
  t.true(tombstoneOf(pool));
  await pool.run(LEASE_SHARING_MILLIS + 2_000);
  t.false(tombstoneOf(pool));
  t.is(await pool.submit(ID, [STEP], BEHAVIOR), 200);
  await pool.run(3_000);
  t.is(await pool.state(ID), 'done');
});

// Guards against an owner that loads tombstones as workflows.
test('should load a pool with tombstones', async t => {
  const pool = await startPool(126);
  const other = '00000000000000e2';
  await pool.submit(other, [STEP], {millis: 8_000});
  await pool.cancel(ID);
  pool.killEntry(pool.ownerName!);
  await pool.run(4_000);
  t.is(await pool.state(ID), undefined);
  t.is(await pool.cancel(ID), 410);
  await pool.run(9_000);
  t.is(await pool.state(other), 'done');
});

// Guards against a storm of cancellations that fills the store.
test('should limit the tombstones of a storm, and refuse the rest at once', async t => {
  const pool = await startPool(127);
  const before = pool.store.list('').revision;
  const statuses: number[] = [];
  for (let number = 0; number < 200; number++) {
    const id = `ffff${number.toString(16).padStart(12, '0')}`;
    statuses.push(await pool.cancel(id, 'entry-0'));
  }
  const stored = pool.store.list(StoreKeys.SPEC_PREFIX).values.length;
  t.is(statuses.filter(status => status === 410).length, stored);
  t.is(statuses.filter(status => status === 503).length, 200 - stored);
  t.true(stored < 80);
  t.true(pool.store.list('').revision - before < 2 * stored);
  // Cancellations of workflows that are stored are not limited.
  await pool.submit(ID, [STEP], {millis: 8_000});
  t.is(await pool.cancel(ID, 'entry-0'), 200);
});

// Guards against a cancellation that waits for a store that is away.
test('should answer a cancellation within a second while the store is away', async t => {
  const pool = await startPool(128);
  pool.store.faults.down = true;
  for (const expected of [504, 503]) {
    const startedAt = pool.clock.now();
    t.is(await pool.cancel(ID), expected);
    t.true(pool.clock.now() - startedAt <= 1_000);
  }
  pool.store.faults.down = false;
  pool.store.faults.refusing = true;
  await pool.run(2_000);
  t.is(await pool.cancel(ID), 503);
});

import test from 'ava';
import {
  betterOwners,
  claimDelayMillis,
} from '../../src/decisions/workflows/owner_succession.js';
import type {OwnerCandidate} from '../../src/decisions/workflows/owner_succession.js';
import {Events} from '../../src/observability/events.js';
import {StoreKeys} from '../../src/protocol/store_keys.js';
import {RecordingLogger} from './fixtures/recording_logger.js';
import {VirtualPool} from './fixtures/virtual_pool.js';

const ID = '00000000000000b1';
const STEP = {Count: 2, Cpu: 500, MemMb: 100, EstimateMs: 500};

function candidate(
  processName: string,
  capacity: number,
  startedAtRevision = 1,
): OwnerCandidate {
  return {processName, capacity, startedAtRevision};
}

test('should leave a free pool to machines with more capacity', t => {
  const candidates = [
    candidate('thin', 0.3, 9),
    candidate('wide', 1),
    candidate('nearly', 0.9, 2),
  ];
  t.is(claimDelayMillis('nearly', candidates), 0);
  t.true(claimDelayMillis('wide', candidates) > 0);
  t.true(
    claimDelayMillis('thin', candidates) > claimDelayMillis('wide', candidates),
  );
});

test('should leave a free pool to the entry that started last', t => {
  const candidates = [candidate('early', 1, 3), candidate('late', 1, 7)];
  t.is(claimDelayMillis('late', candidates), 0);
  t.true(claimDelayMillis('early', candidates) > 0);
});

test('should eventually claim a pool however many better candidates exist', t => {
  const better = Array.from({length: 500}, (_, index) =>
    candidate(`wide-${index}`, 1),
  );
  const delay = claimDelayMillis('thin', [...better, candidate('thin', 0.1)]);
  t.true(delay <= 1_000);
});

test('should name better owners only for a low-capacity machine', t => {
  const candidates = [candidate('thin', 0.3), candidate('wide', 1)];
  t.deepEqual(
    betterOwners('thin', candidates).map(each => each.processName),
    ['wide'],
  );
  t.deepEqual(betterOwners('wide', candidates), []);
});

test('should let the machine with the highest capacity own the pool', async t => {
  for (let seed = 31; seed < 35; seed++) {
    const capacities = {'entry-0': 0.3, 'entry-2': 0.3};
    const pool = new VirtualPool({seed, entries: 3, capacities});
    await pool.run(4_000);
    t.is(pool.ownerName, 'entry-1');
  }
});

test('should hand the pool over once a higher-capacity machine is back', async t => {
  const logger = new RecordingLogger();
  const capacities = {'entry-0': 0.3};
  const pool = new VirtualPool({seed: 36, entries: 2, capacities, logger});
  await pool.run(3_000);
  t.is(pool.ownerName, 'entry-1');
  pool.killEntry('entry-1');
  await pool.run(4_000);
  t.is(pool.ownerName, 'entry-0');
  await pool.submit(ID, [STEP], {millis: 9_000}, 'entry-0');
  await pool.run(1_000);
  pool.restartEntry('entry-1');
  await pool.run(8_000);
  t.is(pool.ownerName, 'entry-1');
  await pool.run(5_000);
  t.is(await pool.state(ID, 'entry-1'), 'done');
  t.is(pool.history.runs.length, 2);
  t.deepEqual(pool.history.violations(), []);
  const reasons = logger.fieldsOf(Events.POOL_LOST).map(each => each.reason);
  t.true(reasons.includes('entry-1 has more capacity'));
});

test('should not hand the pool over to a machine that was killed', async t => {
  const capacities = {'entry-0': 0.3};
  const pool = new VirtualPool({seed: 37, entries: 2, capacities});
  await pool.run(3_000);
  pool.killEntry('entry-1');
  await pool.run(20_000);
  t.is(pool.ownerName, 'entry-0');
});

test('should detect a free pool while watches deliver no changes', async t => {
  const pool = new VirtualPool({seed: 38, entries: 2});
  await pool.run(3_000);
  pool.store.faults.watchesDisconnected = true;
  const owner = pool.ownerName!;
  pool.killEntry(owner);
  await pool.run(4_000);
  t.true(pool.ownerName !== undefined && pool.ownerName !== owner);
});

test('should write the key of the owner once rather than with each commit', async t => {
  const pool = new VirtualPool({seed: 39});
  await pool.run(3_000);
  const before = pool.store.read(StoreKeys.OWNER);
  const commits = pool.store.read(StoreKeys.COMMITS);
  await pool.submit(ID, [STEP], {millis: 500});
  await pool.run(2_000);
  t.is(await pool.state(ID), 'done');
  t.is(pool.store.read(StoreKeys.OWNER), before);
  t.not(pool.store.read(StoreKeys.COMMITS), commits);
});

test('should back off failed claims while the store is unavailable', async t => {
  const logger = new RecordingLogger();
  const pool = new VirtualPool({seed: 40, entries: 2, logger});
  await pool.run(3_000);
  const before = pool.ownerName!;
  pool.store.partitioned.add(before);
  await pool.run(12_000);
  t.not(pool.ownerName, before);
  const failures = logger.fieldsOf(Events.POOL_CLAIM_FAILED).length;
  t.true(failures > 0 && failures < 12, `${failures} claims failed`);
  pool.store.partitioned.delete(before);
  await pool.run(2_000);
  t.not(pool.ownerName, before);
});

// Guards against two owners at once: one with nothing to commit didn't notice that
// its key was removed while its lease went on, and both granted leases.
test('should give the pool up when the key of an idle owner is removed', async t => {
  const logger = new RecordingLogger();
  const pool = new VirtualPool({seed: 41, logger});
  await pool.run(4_000);
  pool.store.revoke(StoreKeys.OWNER);
  await pool.run(1_500);
  const lost = logger.fieldsOf(Events.POOL_LOST);
  t.is(lost.length, 1);
});

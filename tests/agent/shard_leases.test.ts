import test from 'ava';
import {CapacityLedger} from '../../src/decisions/capacity/capacity_ledger.js';
import {ClosedAttempts} from '../../src/agent/closed_attempts.js';
import {ShardLeases} from '../../src/agent/shard_leases.js';
import {WorkerClock} from '../../src/agent/worker_clock.js';
import {
  formatWorkerTaskId,
  parseWorkerTaskId,
} from '../../src/agent/worker_task_id.js';

const SIZE = {milliprocessors: 600, memoryMegabytes: 10, accelerators: 0};
const VM = {milliprocessors: 1000, memoryMegabytes: 100, accelerators: 1};

test('should never reserve more than the capacity of any resource', t => {
  const ledger = new CapacityLedger(VM);
  t.true(ledger.reserve('first', SIZE));
  t.true(ledger.reserve('first', SIZE));
  t.false(ledger.reserve('second', SIZE));
  t.false(
    ledger.reserve('third', {...SIZE, milliprocessors: 1, accelerators: 2}),
  );
  ledger.release('first');
  t.true(ledger.reserve('second', SIZE));
});

test('should admit nothing while adopted tasks exceed the capacity', t => {
  const ledger = new CapacityLedger(VM);
  ledger.adopt('first', SIZE);
  ledger.adopt('second', SIZE);
  t.false(
    ledger.reserve('third', {
      milliprocessors: 0,
      memoryMegabytes: 1,
      accelerators: 0,
    }),
  );
});

test('should not shorten a lease after a late reply', t => {
  const leases = new ShardLeases();
  const lease = {shard: 1, epoch: 5, entryId: 'entry-1', endsAt: 9_000};
  leases.renew(lease);
  leases.renew({...lease, endsAt: 4_000});
  t.is(leases.endsAt(1), 9_000);
});

test('should ignore a lease from a previous owner', t => {
  const leases = new ShardLeases();
  leases.fence(1, 6);
  const outdated = {shard: 1, epoch: 5, entryId: 'entry-1', endsAt: 9_000};
  t.false(leases.renew(outdated));
  t.is(leases.endsAt(1), -Infinity);
});

test('should remove a closed attempt only after the retention time', t => {
  const closed = new ClosedAttempts(1_000);
  closed.close('a', 0);
  t.true(closed.isClosed('a', 1_000));
  t.false(closed.isClosed('a', 1_001));
  t.is(closed.size, 0);
});

test('should never end a lease later by the clock of the worker', t => {
  const workerClock = new WorkerClock();
  // Read at agent time 100 or later; arrived at 150.
  workerClock.observe(7_000, 150);
  t.true(workerClock.toWorkerTime(1_100) <= 7_000 + (1_100 - 100));
});

test('should parse the identity of an attempt from its task id', t => {
  const identity = {
    name: {team: 'depot', job: 'route-build', task: 3, attempt: 2},
    shard: 11,
    urgent: false,
    evictable: true,
  };
  t.deepEqual(parseWorkerTaskId(formatWorkerTaskId(identity)), identity);
  t.is(parseWorkerTaskId('something else'), undefined);
});

import test from 'ava';
import {
  WriteOutcome,
  ConfirmingStore,
} from '../../src/backends/confirming_store.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {MemoryStore} from '../stand_ins/memory_store.js';

function openFixture() {
  const clock = new VirtualClock();
  const store = new MemoryStore({clock, latencyMillis: 2});
  const random = new Random(1);
  const settling = new ConfirmingStore({store, clock, random});
  return {clock, store, settling};
}

test('should report a write whose reply was lost as written', async t => {
  const {clock, store, settling} = openFixture();
  store.faults.loseReplies = 2;
  const write = settling.swap('a', 0, 'mine');
  await clock.settleUntil(20_000);
  t.deepEqual(await write, {outcome: WriteOutcome.WRITTEN, revision: 2});
  t.is(store.table.revision, 2);
});

test('should retry a write that was lost before it took effect', async t => {
  const {clock, store, settling} = openFixture();
  store.faults.loseCalls = 1;
  const write = settling.swap('a', 0, 'mine');
  await clock.settleUntil(20_000);
  t.is((await write).outcome, WriteOutcome.WRITTEN);
  t.is(store.table.get('a')?.value, 'mine');
});

test('should report a conflict with the current value', async t => {
  const {clock, store, settling} = openFixture();
  store.table.swap('a', 0, 'theirs');
  const write = settling.swap('a', 0, 'mine');
  await clock.settleUntil(20_000);
  const {outcome, current} = await write;
  t.is(outcome, WriteOutcome.CONFLICT);
  t.is(current?.value, 'theirs');
});

test('should not report a conflict for a write that was overwritten later', async t => {
  const {clock, store, settling} = openFixture();
  const base = store.table.swap('a', 0, 'base').revision;
  store.faults.loseReplies = 1;
  const plain = settling.swap('a', base, 'mine');
  await clock.settleUntil(1_000);
  const mine = store.table.get('a');
  store.table.swap('a', mine!.revision, 'mine, theirs');
  await clock.settleUntil(20_000);
  t.is((await plain).outcome, WriteOutcome.UNKNOWN);

  const now = store.table.get('a');
  store.faults.loseReplies = 1;
  const descends = settling.swap('a', now!.revision, 'second', {
    includesWrite: current => current.value.startsWith('second'),
  });
  await clock.settleUntil(21_000);
  store.table.swap('a', store.table.get('a')!.revision, 'second, theirs');
  await clock.settleUntil(40_000);
  t.is((await descends).outcome, WriteOutcome.WRITTEN);
});

test('should report unknown if the store is down past the deadline', async t => {
  const {clock, store, settling} = openFixture();
  store.faults.down = true;
  const write = settling.swap('a', 0, 'mine', {deadlineMillis: 3_000});
  await clock.settleUntil(3_000);
  t.is((await write).outcome, WriteOutcome.UNKNOWN);
});

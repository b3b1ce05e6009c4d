import test from 'ava';
import {HttpStore} from '../../src/backends/http_store.js';
import {
  WriteOutcome,
  ConfirmingStore,
} from '../../src/backends/confirming_store.js';
import {StoreUnavailableError} from '../../src/backends/platform_errors.js';
import type {StoreChange} from '../../src/backends/store.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {StoreStandIn} from '../stand_ins/store_stand_in.js';
import {until} from '../stand_ins/until.js';

/** Timeouts elapse only when the test advances the clock. */
async function openFixture(t: {teardown(action: () => void): void}) {
  const standIn = new StoreStandIn();
  const address = await standIn.listen();
  const clock = new VirtualClock();
  const store = new HttpStore({endpoints: [address], clock});
  t.teardown(() => {
    store.close('the test has ended');
    return standIn.close();
  });
  return {standIn, address, store, clock};
}

test('should read back written values and reject an outdated revision', async t => {
  const {store} = await openFixture(t);
  const first = await store.compareAndSwap('a/1', 0, 'Gabès');
  t.true(first.succeeded);
  const second = await store.compareAndSwap('a/1', 0, 'other');
  t.false(second.succeeded);
  t.deepEqual(second.current, {
    key: 'a/1',
    value: 'Gabès',
    revision: first.revision,
  });
  await store.compareAndSwap('a/2', 0, 'two');
  await store.compareAndSwap('b/1', 0, 'outside');
  const page = await store.list('a/', {limit: 1});
  t.true(page.more);
  const rest = await store.list('a/', {afterKey: page.values[0].key});
  t.deepEqual(
    rest.values.map(value => value.key),
    ['a/2'],
  );
  await store.compareAndSwap('a/1', first.revision, 'newer');
  const newest = await store.newest('a/');
  t.is(newest?.value, 'newer');
  t.true((await store.compareAndDelete('a/1', newest!.revision)).succeeded);
  await store.deleteRange('a/', 'a0');
  t.is(await store.get('a/2'), undefined);
  t.is((await store.get('b/1'))?.value, 'outside');
});

test('should name the tried endpoints in order in the error', async t => {
  const {standIn, address} = await openFixture(t);
  const closed = new StoreStandIn();
  const dead = await closed.listen();
  await closed.close();
  const store = new HttpStore({endpoints: [dead, address]});
  t.teardown(() => store.close('the test has ended'));
  t.true((await store.compareAndSwap('a', 0, 'value')).succeeded);
  await standIn.close();
  const error = await t.throwsAsync(() => store.get('a'), {
    instanceOf: StoreUnavailableError,
  });
  const {message} = error;
  t.true(message.indexOf(address) < message.indexOf(dead), message);
  t.true(message.includes(address));
});

test('should determine the outcome of a write whose reply was lost over HTTP', async t => {
  const {standIn, store, clock} = await openFixture(t);
  const random = new Random(1);
  const settling = new ConfirmingStore({store, clock, random});
  standIn.setFaults({loseWriteReplies: 1});
  const write = settling.swap('a', 0, 'mine');
  await until(() => standIn.faults.loseWriteReplies === 0);
  await clock.settleUntil(4_000);
  const settled = await write;
  t.is(settled.outcome, WriteOutcome.WRITTEN);
  t.is(standIn.callCounts()['/v3/kv/txn'], 1);
});

test('should not report an expired lease as a conflict', async t => {
  const {standIn, store} = await openFixture(t);
  const lease = await store.grantLease(5_000);
  t.is(await store.keepLeaseAlive(lease.id), 5_000);
  standIn.table.expireAllLeases();
  t.is(await store.keepLeaseAlive(lease.id), 0);
  await t.throwsAsync(
    () => store.compareAndSwap('a', 0, 'value', {leaseId: lease.id}),
    {instanceOf: StoreUnavailableError},
  );
  await t.notThrowsAsync(() => store.revokeLease(lease.id));
});

test('should end a watch without messages and resume from its revision', async t => {
  const {standIn, store, clock} = await openFixture(t);
  const changes: StoreChange[] = [];
  const watchOnce = (from: number, until: number) =>
    new Promise<string>(resolve => {
      const watch = store.watch('a/', from, {
        onChanges: seen => {
          changes.push(...seen);
          if (changes.length < until) return;
          watch.close('seen');
          resolve('seen');
        },
        onEnd: resolve,
      });
    });
  const first = watchOnce(1, 2);
  await store.compareAndSwap('a/1', 0, 'one');
  await store.compareAndSwap('b/1', 0, 'outside');
  await store.compareAndSwap('a/2', 0, 'two');
  t.is(await first, 'seen');
  standIn.setFaults({watchesSilent: true});
  const silent = watchOnce(changes[1].revision + 1, 3);
  await store.compareAndSwap('a/3', 0, 'three');
  clock.runUntil(30_000);
  t.regex(await silent, /no message received/);
  standIn.setFaults({watchesSilent: false});
  t.is(await watchOnce(changes[1].revision + 1, 3), 'seen');
  t.deepEqual(
    changes.map(change => change.value),
    ['one', 'two', 'three'],
  );
  standIn.table.compact();
  t.regex(await watchOnce(1, 99), /compacted/);
});

test('should end watches and reject calls when the store goes down', async t => {
  const {standIn, store} = await openFixture(t);
  await store.get('a');
  const ended = new Promise<string>(resolve => {
    store.watch('a/', 0, {onChanges: () => {}, onEnd: resolve});
  });
  await store.get('a');
  standIn.setFaults({down: true});
  t.truthy(await ended);
  await t.throwsAsync(() => store.get('a'), {
    instanceOf: StoreUnavailableError,
  });
  standIn.setFaults({down: false});
  t.is(await store.get('a'), undefined);
});

test('should restore the keys of the store stand-in from its journal', t => {
  const clock = new VirtualClock();
  const entries: object[] = [];
  const journal = (entry: object) => entries.push(entry);
  const before = new StoreStandIn({clock, journal});
  const lease = before.table.grantLease(1_000);
  before.table.swap('a', 0, 'kept');
  before.table.swap('b', 0, 'leased', lease);
  const restored = JSON.parse(JSON.stringify(entries));
  const after = new StoreStandIn({clock, entries: restored});
  t.deepEqual(after.table.get('a'), before.table.get('a'));
  t.is(after.table.get('b')?.value, 'leased');
  clock.runUntil(1_000);
  t.is(after.table.get('b'), undefined);
});

import test from 'ava';
import {BudgetedStore} from '../../src/backends/budgeted_store.js';
import {StoreBudgetError} from '../../src/backends/platform_errors.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {MemoryStore} from '../stand_ins/memory_store.js';

function openFixture() {
  const clock = new VirtualClock();
  const memory = new MemoryStore({clock, latencyMillis: 2});
  const store = new BudgetedStore({
    store: memory,
    clock,
    writesPerSecond: 60,
    readsPerSecond: 300,
    entries: 3,
    maximumWaitMillis: 1_000,
    maximumInFlight: 8,
  });
  return {clock, memory, store};
}

test('should limit the rate of writes and reject those that would wait too long', async t => {
  const {clock, store} = openFixture();
  const results: string[] = [];
  for (let index = 0; index < 100; index++) {
    store.compareAndSwap(`key${index}`, 0, 'value').then(
      () => results.push('written'),
      error => results.push(error instanceof StoreBudgetError ? 'no' : 'fault'),
    );
  }
  await clock.settleUntil(1_000);
  const {made, rejected} = store.counts();
  // The burst is a quarter of a second's writes, then 20 writes per second.
  t.true(made.write <= 5 + 20);
  t.is(rejected + made.write, 100);
  t.is(results.filter(result => result === 'no').length, rejected);
  t.false(results.includes('fault'));
});

test('should send waiting lease renewals before waiting writes', async t => {
  const {clock, store} = openFixture();
  const lease = store.grantLease(5_000);
  await clock.settleUntil(10);
  const order: string[] = [];
  for (let index = 0; index < 10; index++) {
    void store
      .compareAndSwap(`key${index}`, 0, 'value')
      .then(() => order.push('write'));
  }
  void store.keepLeaseAlive((await lease).id).then(() => order.push('renewal'));
  await clock.settleUntil(1_000);
  t.is(order.length, 11);
  t.is(order.indexOf('renewal'), 4);
});

test('should reject calls that wait while the store does not respond', async t => {
  const {clock, memory, store} = openFixture();
  memory.faults.loseCalls = 8;
  const reads = Array.from({length: 9}, () =>
    store.get('key').catch((error: Error) => error),
  );
  await clock.settleUntil(1_500);
  t.is(store.counts().inFlight, 8);
  t.true((await reads[8]) instanceof StoreBudgetError);
  const lease = store.grantLease(5_000);
  await clock.settleUntil(1_600);
  t.is((await lease).ttlMillis, 5_000);
});

import test from 'ava';
import {
  StoreRefusedError,
  StoreUnavailableError,
} from '../../src/backends/platform_errors.js';
import {PlatformStore} from '../../src/platform/platform_store.js';
import {serveResponses} from './http_fake.js';

const VALUE = Buffer.from('text').toString('base64');

test('should send a transaction with its conditions, leases and removals', async t => {
  const {address, seen} = await serveResponses(t, [
    {status: 200, body: {Revision: 412}},
  ]);
  const store = new PlatformStore({address});
  const result = await store.transact({
    conditions: [{key: 'a', revision: 7}],
    puts: [{key: 'b', value: 'text', leaseId: '77120'}],
    removals: ['c'],
  });
  t.deepEqual(result, {succeeded: true, revision: 412, current: []});
  t.deepEqual(seen[0].body, {
    Precondition: [{Key: 'a', Revision: 7}],
    Puts: [{Key: 'b', Value: VALUE, Lease: 77120}],
    Remove: ['c'],
  });
  store.close('test');
});

test('should return the current values when a condition does not hold', async t => {
  const items = [
    {Key: 'a', Value: VALUE, Revision: 9},
    {Key: 'b', Revision: 0},
  ];
  const {address} = await serveResponses(t, [{status: 412, body: {items}}]);
  const store = new PlatformStore({address});
  const result = await store.transact({conditions: [], puts: []});
  t.false(result.succeeded);
  t.deepEqual(result.current, [{key: 'a', value: 'text', revision: 9}]);
  store.close('test');
});

for (const status of [429, 503, 404]) {
  test(`should report a transaction as refused after response ${status}`, async t => {
    const {address} = await serveResponses(t, [{status}]);
    const store = new PlatformStore({address});
    const call = store.transact({conditions: [], puts: []});
    await t.throwsAsync(call, {instanceOf: StoreRefusedError});
    store.close('test');
  });
}

test('should report the outcome as unknown when a transaction has no response', async t => {
  const {address} = await serveResponses(t, [undefined]);
  const store = new PlatformStore({address, timeoutMillis: 100});
  const call = store.transact({conditions: [], puts: []});
  await t.throwsAsync(call, {instanceOf: StoreUnavailableError});
  store.close('test');
});

test('should report the outcome as unknown when a transaction has response 500', async t => {
  const {address} = await serveResponses(t, [{status: 500}]);
  const store = new PlatformStore({address});
  const call = store.transact({conditions: [], puts: []});
  await t.throwsAsync(call, {instanceOf: StoreUnavailableError});
  store.close('test');
});

test('should read all pages of a list', async t => {
  const item = (key: string): object => ({Key: key, Value: VALUE, Revision: 3});
  const {address, seen} = await serveResponses(t, [
    {status: 200, body: {items: [item('p/a')], HasMore: true, CurrentRev: 9}},
    {status: 200, body: {items: [item('p/b')], HasMore: false, CurrentRev: 11}},
  ]);
  const store = new PlatformStore({address});
  const listing = await store.list('p/');
  t.deepEqual(
    listing.values.map(({key}) => key),
    ['p/a', 'p/b'],
  );
  t.is(listing.revision, 9);
  t.true(seen[1].path.endsWith('&After=p%2Fa'));
  store.close('test');
});

test('should report that the history of a watch is no longer available', async t => {
  const {address} = await serveResponses(t, [{status: 410}]);
  const store = new PlatformStore({address});
  t.is(await store.changesAfter('p/', 4, 100), undefined);
  store.close('test');
});

test('should distinguish deletions from writes in a watch', async t => {
  const events = [
    {Key: 'p/a', Value: VALUE, Revision: 5},
    {Key: 'p/b', Revision: 6, Deleted: true},
  ];
  const {address} = await serveResponses(t, [
    {status: 200, body: {events, CurrentRev: 6}},
  ]);
  const store = new PlatformStore({address});
  const changes = await store.changesAfter('p/', 4, 100);
  t.deepEqual(changes?.changes, [
    {key: 'p/a', value: 'text', revision: 5},
    {key: 'p/b', value: undefined, revision: 6},
  ]);
  store.close('test');
});

test('should report whether a lease is still valid', async t => {
  const {address} = await serveResponses(t, [
    {status: 200, body: {TtlMs: 2000}},
    {status: 404},
  ]);
  const store = new PlatformStore({address});
  t.true(await store.keepLeaseAlive('5'));
  t.false(await store.keepLeaseAlive('5'));
  store.close('test');
});

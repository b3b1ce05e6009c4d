import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import {HttpStore} from '../../src/backends/http_store.js';
import {StoreUnavailableError} from '../../src/backends/platform_errors.js';
import {StoreStandIn} from '../stand_ins/store_stand_in.js';

/** Each call, and whether its value is one that the store may hold. */
const CALLS: ReadonlyArray<(store: HttpStore) => Promise<boolean>> = [
  async store => isRevision((await store.get('a'))?.revision ?? 1),
  async store => isRevision((await store.newest('a'))?.revision ?? 1),
  async store => isRevision((await store.list('a')).revision),
  async store => isRevision((await store.compareAndSwap('a', 0, '')).revision),
  async store => isRevision((await store.compareAndDelete('a', 1)).revision),
  async store => (await store.grantLease(5_000)).ttlMillis >= 0,
  async store => (await store.keepLeaseAlive('1')) >= 0,
  store => store.revokeLease('1').then(() => true),
  store => store.deleteRange('a', 'b').then(() => true),
];

function isRevision(revision: number): boolean {
  return Number.isSafeInteger(revision) && revision > 0;
}

const scalar = fc.constantFrom(
  '7',
  '',
  '-1',
  'x',
  7,
  null,
  true,
  [],
  {},
  '1e9',
);
const header = fc.oneof(scalar, fc.record({revision: scalar}));
const pair = fc.record({key: scalar, value: scalar, mod_revision: scalar});
const range = fc.record({header, kvs: fc.oneof(scalar, fc.array(pair))});
const replies = fc.oneof(
  fc.string().map(text => text as unknown),
  range.map(reply => JSON.stringify(reply)),
  fc
    .record({
      ...{header, succeeded: scalar, ID: scalar, TTL: scalar, result: scalar},
      responses: fc.array(fc.record({response_range: range})),
    })
    .map(reply => JSON.stringify(reply)),
  fc.json(),
);

test('should take no malformed reply of the store for an answer', async t => {
  let reply = '';
  const server = createServer((_request, response) => response.end(reply));
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  const store = new HttpStore({endpoints: [`127.0.0.1:${port}`]});
  const outcomes = {read: 0, refused: 0};
  const property = fc.asyncProperty(replies, async drawn => {
    reply = String(drawn);
    for (const call of CALLS) {
      const valid = await call(store).catch((error: Error) => error);
      if (valid === false) throw new Error(`misread: ${reply}`);
      if (valid === true) outcomes.read++;
      else if (valid instanceof StoreUnavailableError) outcomes.refused++;
      else throw valid;
    }
  });
  await fc.assert(property, {seed: 31, numRuns: 400});
  t.true(outcomes.read > 0 && outcomes.refused > 0, JSON.stringify(outcomes));
  store.close('the test ends');
  server.close();
  const standIn = new StoreStandIn();
  const whole = new HttpStore({endpoints: [await standIn.listen()]});
  for (const call of CALLS) t.true(await call(whole).catch(() => false));
  whole.close('the test ends');
  await standIn.close();
});

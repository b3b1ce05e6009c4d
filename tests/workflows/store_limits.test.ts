import test from 'ava';
import type {ApiResponse} from '../../src/entry/http/api_types.js';
import {VirtualPool} from './fixtures/virtual_pool.js';

const ID = '00000000000000e1';
const UNKNOWN_ID = '00000000000000ff';
const STEP = {Count: 1, Cpu: 500, MemMb: 100, EstimateMs: 1_000};
const BEHAVIOR = {millis: 20_000};
/** Of the store's default rates, for 4 s at once. */
const LOOKUPS_AT_ONCE = 400;
const SUBMISSIONS_AT_ONCE = 400;
/** Store calls of a whole fleet without callers, in a second. */
const CALLS_OF_FLEET = 100;

async function startPool(seed: number): Promise<VirtualPool> {
  const pool = new VirtualPool({seed});
  await pool.run(3_000);
  return pool;
}

function countStatus(
  responses: readonly ApiResponse[],
  status: number,
): number {
  return responses.filter(response => response.status === status).length;
}

function hasRetryAfter({headers}: ApiResponse): boolean {
  return headers.some(
    ([name, value]) => name === 'retry-after' && Number(value) >= 1,
  );
}

// Guards against callers of unknown workflows that use up the store's reads.
test('should refuse lookups of unknown workflows beyond a rate', async t => {
  const pool = await startPool(442);
  t.is(await pool.submit(ID, [STEP], BEHAVIOR), 200);
  await pool.run(1_000);
  const before = pool.store.callCount;
  const responses = await pool.callAtOnce(2_000, 'GET', UNKNOWN_ID);
  const limit = 2 * LOOKUPS_AT_ONCE + CALLS_OF_FLEET;
  t.true(pool.store.callCount - before < limit);
  t.true(countStatus(responses, 410) >= LOOKUPS_AT_ONCE);
  const refused = responses.filter(({status}) => status !== 410);
  t.true(refused.length > 0);
  t.true(refused.every(({status}) => status === 503));
  t.true(refused.every(hasRetryAfter));
  t.is(await pool.state(ID), 'running');
  t.is(await pool.cancel(ID), 200);
});

test('should refuse cancellations of unknown workflows beyond a rate', async t => {
  const pool = await startPool(443);
  const before = pool.store.callCount;
  const responses = await pool.callAtOnce(2_000, 'DELETE', UNKNOWN_ID);
  const limit = 2 * LOOKUPS_AT_ONCE + CALLS_OF_FLEET;
  t.true(pool.store.callCount - before < limit);
  const refused = responses.filter(({status}) => status !== 410);
  t.true(refused.length > 0);
  t.true(refused.every(({status}) => status === 503));
  t.true(refused.every(hasRetryAfter));
});

// Guards against submissions that use up the writes of the store.
test('should refuse submissions beyond a rate, and accept later ones', async t => {
  const pool = await startPool(444);
  const spec = JSON.stringify(BEHAVIOR);
  const body = JSON.stringify({Spec: spec, Steps: [STEP]});
  const responses = await pool.callAtOnce(600, 'POST', ID, {body});
  t.is(countStatus(responses, 200), SUBMISSIONS_AT_ONCE);
  const refused = responses.filter(({status}) => status !== 200);
  t.true(refused.every(({status}) => status === 503));
  t.true(refused.every(hasRetryAfter));
  await pool.run(1_000);
  t.is(await pool.submit('00000000000000e2', [STEP], BEHAVIOR), 200);
});

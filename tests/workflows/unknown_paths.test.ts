import test from 'ava';
import {VirtualPool} from './fixtures/virtual_pool.js';

/** Store calls of a whole fleet without callers, in a second. */
const CALLS_OF_FLEET = 100;

// Guards against callers of unknown paths that use up the calls of the store.
test('should share reads of the configuration between calls at unknown paths', async t => {
  const pool = new VirtualPool({seed: 441});
  await pool.run(3_000);
  const before = pool.store.callCount;
  const target = '/none/at/all';
  const responses = await pool.callAtOnce(500, 'GET', '', {target});
  t.true(responses.every(({status}) => status === 404));
  t.true(pool.store.callCount - before < CALLS_OF_FLEET);
});

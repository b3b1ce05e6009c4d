import test from 'ava';
import {allPairs, runPair} from '../history/fault_pairs.js';

const FIRST_SEED = 500;
/** Coprime to the number of faults, so that each occurs first and second. */
const SAMPLE_STRIDE = 17;

test('should keep every point under a fixed sample of pairs of faults', async t => {
  t.timeout(900_000);
  for (const pair of allPairs()) {
    if (pair.index % SAMPLE_STRIDE !== 0) continue;
    const {seed, violations, covered} = await runPair(pair, FIRST_SEED);
    const context = `seed ${seed}: ${JSON.stringify(pair.plan)}`;
    t.deepEqual(violations, [], context);
    t.true(covered, context);
  }
});

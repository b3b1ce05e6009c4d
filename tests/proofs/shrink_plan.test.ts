import test from 'ava';
import {shrinkPlan} from '../history/shrink_plan.js';

const CASES: ReadonlyArray<{needed: string[]; plan: string[]}> = [
  {needed: ['b', 'd'], plan: ['a', 'b', 'c', 'd']},
  {needed: ['a', 'b', 'c'], plan: ['a', 'b', 'c']},
  {needed: [], plan: ['a', 'a']},
];

for (const {needed, plan} of CASES) {
  test(`should shrink ${plan.join()} to the faults that cause the violation: ${needed.join()}`, async t => {
    const violates = (smaller: readonly string[]): Promise<boolean> =>
      Promise.resolve(needed.every(name => smaller.includes(name)));
    t.deepEqual(await shrinkPlan(plan, violates), needed);
  });
}

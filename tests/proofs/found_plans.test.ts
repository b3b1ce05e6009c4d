import test from 'ava';
import type {PlannedFault} from '../history/fault_injector.js';
import {runFleet} from '../history/fleet_run.js';

/** Shrunk plans of runs in which a checker once found a violation. */
const PLANS: ReadonlyArray<{seed: number; plan: readonly PlannedFault[]}> = [
  {
    seed: 820623,
    plan: [
      {fault: 'VM lost', step: 'executorSend.after', occurrence: 5},
      {fault: 'VM lost', step: 'append.before', occurrence: 7},
    ],
  },
  {
    seed: 820210,
    plan: [
      {
        fault: 'agent frozen past its lease',
        step: 'executorSend.before',
        occurrence: 9,
      },
    ],
  },
  {
    seed: 830136,
    plan: [
      {
        fault: 'cut from agent to entry',
        step: 'startAttempts.reply',
        occurrence: 4,
      },
      {fault: 'entry killed', step: 'serve.reply', occurrence: 6},
    ],
  },
];

for (const {seed, plan} of PLANS) {
  const faults = plan.map(({fault}) => fault).join(', then ');
  test(`should keep every point under ${faults}, seed ${seed}`, async t => {
    const {violations, injected} = await runFleet(seed, plan);
    t.is(injected.length, plan.length);
    t.deepEqual(violations, []);
  });
}

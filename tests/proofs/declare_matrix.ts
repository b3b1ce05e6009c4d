import test from 'ava';
import {FAULTS} from '../history/faults.js';
import type {PlannedFault} from '../history/fault_injector.js';
import {runFleet} from '../history/fleet_run.js';
import {STEPS} from '../history/step_hooks.js';

const FIRST_SEED = 100;
/** Cells injected in the same run, so that faults are also combined. */
const CELLS_PER_RUN = 3;
const MAXIMUM_RUNS = 8;
const SEED_STRIDE = 100_000;

/** Steps that a run may reach only once after its start. */
const RARE_STEPS: ReadonlySet<string> = new Set([
  'claim.before',
  'claim.after',
  'register.before',
  'queryAttempts.request',
  'queryAttempts.reply',
  'workerCheckpoint.before',
  'stopAttempts.request',
  'stopAttempts.reply',
  'shutdown.begin',
]);

/** Every fault at every step. */
function allCells(): PlannedFault[] {
  const cells: PlannedFault[] = [];
  for (const fault of Object.keys(FAULTS)) {
    for (const step of STEPS) {
      const occurrence = RARE_STEPS.has(step) ? 1 : 2;
      cells.push({fault, step, occurrence});
    }
  }
  return cells;
}

/** Groups of up to three cells that are far apart in the matrix. */
function allPlans(): PlannedFault[][] {
  const cells = allCells();
  const runs = Math.ceil(cells.length / CELLS_PER_RUN);
  const plans: PlannedFault[][] = [];
  for (let first = 0; first < runs; first++) {
    const plan: PlannedFault[] = [];
    for (let index = first; index < cells.length; index += runs) {
      plan.push(cells[index]);
    }
    plans.push(plan);
  }
  return plans;
}

/** Declares the tests of one part of the matrix. */
export function declareMatrix(part: number, parts: number): void {
  test(`should keep every point under every fault at every step, part ${part + 1} of ${parts}`, async t => {
    t.timeout(900_000);
    for (const [index, plan] of allPlans().entries()) {
      if (index % parts !== part) continue;
      const pending = new Set(plan);
      for (let run = 0; run < MAXIMUM_RUNS && pending.size > 0; run++) {
        const seed = FIRST_SEED + index + run * SEED_STRIDE;
        const {violations, injected} = await runFleet(seed, [...pending]);
        const context = `seed ${seed}: ${JSON.stringify([...pending])}`;
        t.deepEqual(violations, [], context);
        for (const cell of injected) pending.delete(cell);
      }
      t.deepEqual([...pending], [], 'these faults were not injected');
    }
  });
}

import test from 'ava';
import {FAULTS} from '../history/faults.js';
import type {PlannedFault} from '../history/fault_injector.js';
import {runFleet} from '../history/fleet_run.js';
import type {FleetRunResult} from '../history/fleet_run.js';
import {STEPS} from '../history/step_hooks.js';

const FIRST_SEED = 100;
const TRIALS = 8;
const SEED_STRIDE = 100_000;

/**
 * Declares one test for each fault of a part of the matrix: the fault at the
 * second time of every step, each step in a run of its own. A step that has
 * only one time in a run takes its first.
 */
export function declareMatrix(part: number, parts: number): void {
  const faults = Object.keys(FAULTS);
  for (const [index, fault] of faults.entries()) {
    if (index % parts !== part) continue;
    test(`should keep every point under "${fault}" at any step`, async t => {
      t.timeout(600_000);
      for (const [column, step] of STEPS.entries()) {
        const seed = FIRST_SEED + index * STEPS.length + column;
        const occurrence = RARE_STEPS.has(step) ? 1 : 2;
        const plan: PlannedFault[] = [{fault, step, occurrence}];
        const {violations, injected} = await runUntilInjected(seed, plan);
        const where = `${fault} at ${step}, seed ${seed}`;
        t.deepEqual(injected, plan, `not injected: ${where}`);
        t.deepEqual(violations, [], where);
      }
    });
  }
}

/** Not every run takes every step; another seed's may. */
async function runUntilInjected(
  seed: number,
  plan: readonly PlannedFault[],
): Promise<FleetRunResult> {
  let result = await runFleet(seed, plan);
  for (let trial = 1; trial < TRIALS; trial++) {
    if (result.injected.length > 0 || result.violations.length > 0) break;
    result = await runFleet(seed + trial * SEED_STRIDE, plan);
  }
  return result;
}

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

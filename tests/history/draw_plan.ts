import {Random} from '../../src/utilities/random.js';
import {FAULTS} from './faults.js';
import type {PlannedFault} from './fault_injector.js';
import {STEPS} from './step_hooks.js';

const MAXIMUM_FAULTS = 3;
const TWICE_SHARE = 0.25;
/** Steps come this often at least in a run, or the fault may be missed. */
const LATEST_OCCURRENCE = 12;

/** Draws up to three faults at random steps; the same seed draws the same. */
export function drawPlan(seed: number): PlannedFault[] {
  const random = new Random(seed ^ 0x5eed);
  const names = Object.keys(FAULTS);
  const plan: PlannedFault[] = [];
  const count = 1 + random.below(MAXIMUM_FAULTS);
  while (plan.length < count) {
    const fault = names[random.below(names.length)];
    const step = STEPS[random.below(STEPS.length)];
    const occurrence = 1 + random.below(LATEST_OCCURRENCE);
    plan.push({fault, step, occurrence});
    if (random.unit() < TWICE_SHARE) {
      plan.push({fault, step, occurrence: occurrence + 1});
    }
  }
  return plan;
}

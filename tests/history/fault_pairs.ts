import type {PlannedFault} from './fault_injector.js';
import {FAULTS} from './faults.js';
import type {FaultName} from './faults.js';
import {runFleet} from './fleet_run.js';
import type {FleetRunResult} from './fleet_run.js';
import type {Step} from './step_hooks.js';

/** Steps that every run reaches often, so that both faults are injected. */
const FREQUENT_STEPS: readonly Step[] = [
  ...(['heartbeat.request', 'serve.request', 'append.after'] as const),
  ...(['startAttempts.request', 'serve.reply', 'append.before'] as const),
  ...(['reportAttempts.request', 'executorSend.before'] as const),
  ...(['workerRenew.before', 'workerStart.after', 'keepAlive.before'] as const),
];
const FIRST_OCCURRENCE = 2;
/** The second fault comes so many occurrences of the step later. */
const STRIDE = 3;
const TRIALS = 6;
const SEED_STRIDE = 100_000;

/** One fault after another. */
export interface FaultPair {
  readonly index: number;
  readonly first: FaultName;
  readonly second: FaultName;
  readonly plan: readonly PlannedFault[];
}

export interface PairRun extends FleetRunResult {
  readonly seed: number;
  readonly covered: boolean;
}

/** All ordered pairs of faults, each with itself, too. */
export function allPairs(): FaultPair[] {
  const names = Object.keys(FAULTS);
  const pairs: FaultPair[] = [];
  for (const first of names) {
    for (const second of names) {
      const index = pairs.length;
      const step = FREQUENT_STEPS[index % FREQUENT_STEPS.length];
      const occurrence = FIRST_OCCURRENCE;
      const plan = [
        {fault: first, step, occurrence},
        {fault: second, step, occurrence: occurrence + STRIDE},
      ];
      pairs.push({index, first, second, plan});
    }
  }
  return pairs;
}

/** Runs the pair until both faults were injected in one run, or it violates. */
export async function runPair(
  {index, plan}: FaultPair,
  firstSeed: number,
): Promise<PairRun> {
  for (let trial = 1; ; trial++) {
    const seed = firstSeed + index + trial * SEED_STRIDE;
    const result = await runFleet(seed, plan);
    const covered = result.injected.length === plan.length;
    const violated = result.violations.length > 0;
    if (!covered && !violated && trial < TRIALS) continue;
    return {...result, seed, covered};
  }
}

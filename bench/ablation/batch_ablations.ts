import {BestFitPlacer} from '../../src/decisions/placement/best_fit_placer.js';
import {InterferenceTable} from '../../src/decisions/placement/interference_table.js';
import {ClaimAll} from '../../src/decisions/placement/capacity_claims.js';
import {Spread} from '../../src/decisions/placement/spread.js';
import {StartRateLimiter} from '../../src/decisions/recovery/start_rate_limiter.js';
import {NoQuarantinePolicy} from '../../src/decisions/recovery/worker_quarantine.js';
import {DeclaredSizes} from '../batch/baseline_policies.js';
import {ASANTEWAA, SFAX} from '../batch/batch_plans.js';
import type {FleetSize} from '../batch/batch_plans.js';
import {batchScenarioNamed} from '../batch/batch_scenarios.js';
import {PRODUCT} from '../batch/batch_simulation.js';
import type {PolicySet} from '../batch/batch_simulation.js';
import {rowOf, runPlan} from '../batch/compare_batch.js';
import type {Scenario} from '../scenario.js';
import {compareWithout} from './compare_without.js';

/** Batch policies that are taken out, one at a time. */

interface BatchAblation {
  readonly policy: string;
  /** The batch scenario that the policy is for. */
  readonly scenario: string;
  readonly figures: readonly string[];
  readonly without: Partial<PolicySet>;
}

const WORK = 'work cpu s';

function bestFit(shard: number, preferenceWeight?: number): BestFitPlacer {
  const interference = new InterferenceTable();
  const spread = new Spread();
  return new BestFitPlacer({shard, interference, spread, preferenceWeight});
}

const noPacing = {
  startsPerSecond: 1e6,
  burst: 1e6,
  unconfirmedPerVm: 1e6,
};

const ABLATIONS: readonly BatchAblation[] = [
  {
    policy: 'interference',
    scenario: 'batch-noisy-full',
    figures: ['late %', 'tail p99 ms', WORK],
    without: {policies: shard => ({placer: bestFit(shard)})},
  },
  {
    policy: 'learned-sizes',
    scenario: 'batch-wrong-sizes',
    figures: ['wasted %', 'late %', WORK],
    without: {policies: () => ({learner: new DeclaredSizes()})},
  },
  {
    policy: 'quarantine',
    scenario: 'batch-black-hole',
    figures: ['failed try', 'failed task', WORK],
    without: {policies: () => ({judge: new NoQuarantinePolicy()})},
  },
  {
    policy: 'claims',
    scenario: 'batch-race',
    figures: ['refused %', WORK],
    without: {policies: () => ({claims: new ClaimAll()})},
  },
  {
    policy: 'pacing',
    scenario: 'batch-vm-loss',
    figures: ['refused %', WORK],
    without: {policies: () => ({pacer: new StartRateLimiter(noPacing)})},
  },
  {
    policy: 'pacing',
    scenario: 'batch-domain-out',
    figures: ['refused %', WORK],
    without: {policies: () => ({pacer: new StartRateLimiter(noPacing)})},
  },
  {
    policy: 'room-for-urgent',
    scenario: 'batch-urgent',
    figures: ['urgent p99', WORK],
    without: {limits: {urgentEvictionDelayMillis: Infinity}},
  },
  {
    policy: 'learned-memory',
    scenario: 'batch-entry-killed-learned',
    figures: ['failed try', 'wasted %', WORK],
    without: {remembers: false},
  },
];

export const batchAblations: readonly Scenario[] = ABLATIONS.flatMap(ablation =>
  [ASANTEWAA, SFAX].map(fleet => ({
    name: `without-${ablation.policy}/${fleet.name}/${ablation.scenario}`,
    description: `the product with and without ${ablation.policy}`,
    run: seed => runAblation(ablation, fleet, seed),
  })),
);

function runAblation(ablation: BatchAblation, fleet: FleetSize, seed: number) {
  const {figures, policy, scenario, without} = ablation;
  const plan = batchScenarioNamed(scenario).plan(fleet);
  const product = rowOf('product', runPlan(plan, PRODUCT, seed));
  const policySet = {...PRODUCT, ...without};
  const other = rowOf(policy, runPlan(plan, policySet, seed));
  return compareWithout(policy, product.figures, other.figures, figures);
}

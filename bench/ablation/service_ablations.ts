import {LeastExpectedTimePolicy} from '../../src/decisions/routing/least_expected_time_policy.js';
import type {Scenario} from '../scenario.js';
import {fleetSizes} from '../service/fleet_size.js';
import type {FleetSize} from '../service/fleet_size.js';
import {traceOf} from '../service/request_trace.js';
import {serviceScenarioOptions} from '../service/service_scenarios.js';
import {ServiceSimulation} from '../service/service_simulation.js';
import type {SimulationOptions} from '../service/service_simulation.js';
import {compareWithout} from './compare_without.js';

/** Routing policies that are taken out, one at a time. */

interface ServiceAblation {
  readonly policy: string;
  /** The service scenario that the policy is for. */
  readonly scenario: string;
  readonly figures: readonly string[];
  readonly without: Partial<SimulationOptions>;
}

const noDomainPreference = () =>
  new LeastExpectedTimePolicy({crossingMillis: 0});

const ABLATIONS: readonly ServiceAblation[] = [
  {
    policy: 'domain-preference',
    scenario: 'steady-70',
    figures: ['p50', 'p99'],
    without: {policy: noDomainPreference},
  },
  {
    policy: 'ejection',
    scenario: 'executor-fails',
    figures: ['failed %', 'p99'],
    without: {maximumEjectedShare: 0},
  },
  {
    policy: 'ejection',
    scenario: 'executor-lags',
    figures: ['unknown %', 'p99'],
    without: {maximumEjectedShare: 0},
  },
  {
    policy: 'hedging',
    scenario: 'domain-lost',
    figures: ['unknown %', 'p99'],
    without: {hedges: false},
  },
  {
    policy: 'hedging',
    scenario: 'vm-frozen',
    figures: ['unknown %', 'p99'],
    without: {hedges: false},
  },
];

export const serviceAblations: readonly Scenario[] = ABLATIONS.flatMap(
  ablation =>
    fleetSizes.map(size => ({
      name: `without-${ablation.policy}/${size.name}/${ablation.scenario}`,
      description: `the product with and without ${ablation.policy}`,
      run: seed => runAblation(ablation, size, seed),
    })),
);

function runAblation(ablation: ServiceAblation, size: FleetSize, seed: number) {
  const {figures, policy, scenario, without} = ablation;
  const options = serviceScenarioOptions.find(({name}) => name === scenario);
  if (!options) throw new Error(`No service scenario is named "${scenario}".`);
  const {durationMillis, faults = []} = options;
  const trace = traceOf(size, seed, options);
  const common = {size, seed, trace, faults, hedges: true};
  const run = (changes: Partial<SimulationOptions>) =>
    new ServiceSimulation({...common, ...changes})
      .run()
      .figures(durationMillis);
  return compareWithout(policy, run({}), run(without), figures);
}

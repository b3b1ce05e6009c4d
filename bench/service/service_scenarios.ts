import type {RoutingPolicy} from '../../src/decisions/routing/routing_policy.js';
import {LeastConnectionsPolicy} from '../baselines/least_connections_policy.js';
import {PowerOfTwoPolicy} from '../baselines/power_of_two_policy.js';
import {RandomPolicy} from '../baselines/random_policy.js';
import {RoundRobinPolicy} from '../baselines/round_robin_policy.js';
import type {
  Scenario,
  ScenarioRatio,
  ScenarioResult,
  ScenarioRow,
} from '../scenario.js';
import {CentralQueue} from './central_queue.js';
import type {Fault} from './fault.js';
import {fleetSizes} from './fleet_size.js';
import type {FleetSize} from './fleet_size.js';
import {traceOf} from './request_trace.js';
import type {TraceOptions} from './request_trace.js';
import {ServiceSimulation} from './service_simulation.js';

const SECOND = 1000;
const PRODUCT = 'product';
const BOUND = 'central queue';

const baselines: ReadonlyArray<() => RoutingPolicy> = [
  () => new RandomPolicy(),
  () => new RoundRobinPolicy(),
  () => new PowerOfTwoPolicy(),
  () => new LeastConnectionsPolicy(),
];

/** A figure of the product against another variant's, with its target. */
interface RatioRule {
  readonly figure: string;
  readonly against: string;
  readonly atMost?: number;
  readonly atLeast?: number;
}

interface ServiceScenarioOptions extends TraceOptions {
  readonly name: string;
  readonly description: string;
  readonly faults?: (size: FleetSize) => readonly Fault[];
  readonly ratios: readonly RatioRule[];
}

const toBound: readonly RatioRule[] = [
  {figure: 'p99', against: BOUND},
  {figure: 'p99.9', against: BOUND},
  {figure: 'answered/s', against: BOUND},
];

/** Slots left when one of the executors is slower by the factor. */
function capacityWithSlow(executors: number, factor: number): number {
  return (executors - 1 + 1 / factor) / executors;
}

const SLOW_FACTOR = 4;
const SLOW_CAPACITY = capacityWithSlow(11, SLOW_FACTOR);
const slowExecutor: Fault = {
  atMillis: 0,
  apply: target => target.setSlowdown(0, SLOW_FACTOR),
};

const options: readonly ServiceScenarioOptions[] = [
  {
    name: 'steady-70',
    description: '70% load, lognormal times of sigma 1',
    durationMillis: 60 * SECOND,
    loadAt: () => 0.7,
    ratios: toBound,
  },
  {
    name: 'steady-90',
    description: '90% load, lognormal times of sigma 1',
    durationMillis: 60 * SECOND,
    loadAt: () => 0.9,
    ratios: [
      {figure: 'p99', against: BOUND, atMost: 1.02},
      {figure: 'p99.9', against: BOUND, atMost: 1.05},
    ],
  },
  {
    name: 'low-variance-90',
    description: '90% load, lognormal times of sigma 0.2',
    durationMillis: 60 * SECOND,
    loadAt: () => 0.9,
    sigma: 0.2,
    ratios: [{figure: 'wait p99', against: BOUND, atMost: 2}],
  },
  {
    name: 'slow-executor-70',
    description: '70% of the capacity left, one executor 4 times slower',
    durationMillis: 60 * SECOND,
    loadAt: () => 0.7 * SLOW_CAPACITY,
    faults: () => [slowExecutor],
    ratios: [{figure: 'p99', against: BOUND, atMost: 1.08}],
  },
  {
    name: 'slow-executor-90',
    description: '90% of the capacity left, one executor 4 times slower',
    durationMillis: 60 * SECOND,
    loadAt: () => 0.9 * SLOW_CAPACITY,
    faults: () => [slowExecutor],
    ratios: [{figure: 'p99', against: BOUND, atMost: 1.08}],
  },
];

export const serviceScenarios: readonly Scenario[] = fleetSizes.flatMap(size =>
  options.map(each => serviceScenario(size, each)),
);

function serviceScenario(
  size: FleetSize,
  scenario: ServiceScenarioOptions,
): Scenario {
  return {
    name: `${size.name}/${scenario.name}`,
    description: scenario.description,
    run: seed => runServiceScenario(size, scenario, seed),
  };
}

function runServiceScenario(
  size: FleetSize,
  scenario: ServiceScenarioOptions,
  seed: number,
): ScenarioResult {
  const trace = traceOf(size, seed, scenario);
  const faults = scenario.faults?.(size) ?? [];
  const {durationMillis} = scenario;
  const common = {size, seed, trace, faults};
  const product = new ServiceSimulation({...common, hedges: true}).run();
  const rows = [{variant: PRODUCT, figures: product.figures(durationMillis)}];
  for (const policy of baselines) {
    const baseline = new ServiceSimulation({
      ...common,
      policy,
      maximumEjectedShare: 0,
      hedges: false,
    }).run();
    const figures = baseline.figures(durationMillis);
    rows.push({variant: policy().name, figures});
  }
  const bound = new CentralQueue(size).run(trace, faults);
  rows.push({variant: BOUND, figures: bound.figures(durationMillis)});
  return {rows, ratios: ratiosOf(rows, scenario.ratios)};
}

function ratiosOf(
  rows: readonly ScenarioRow[],
  rules: readonly RatioRule[],
): ScenarioRatio[] {
  const product = rows[0].figures;
  const ratios: ScenarioRatio[] = [];
  for (const {figure, against, atMost, atLeast} of rules) {
    const other = rows.find(({variant}) => variant === against);
    if (!other) continue;
    const value = product[figure] / other.figures[figure];
    ratios.push({name: `${figure} against ${against}`, value, atMost, atLeast});
  }
  return ratios;
}

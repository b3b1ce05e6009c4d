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
import type {FleetSize} from './fleet_size.js';
import {traceOf} from './request_trace.js';
import type {TracedRequest, TraceOptions} from './request_trace.js';
import {ServiceSimulation} from './service_simulation.js';

const PRODUCT = 'product';
/** The omniscient queue on the same trace. */
export const BOUND = 'central queue';
/** The product on the scenario's reference load. */
export const REFERENCE = 'product, reference';

const baselines: ReadonlyArray<() => RoutingPolicy> = [
  () => new RandomPolicy(),
  () => new RoundRobinPolicy(),
  () => new PowerOfTwoPolicy(),
  () => new LeastConnectionsPolicy(),
];

/** A figure of the product, alone or against another variant's. */
export interface RatioRule {
  readonly figure: string;
  readonly against?: string;
  readonly atMost?: number;
  readonly atLeast?: number;
}

export interface ServiceScenarioOptions extends TraceOptions {
  readonly name: string;
  readonly description: string;
  readonly faults?: readonly Fault[];
  /** Runs the product on this load too, without the faults. */
  readonly referenceLoad?: number;
  /** In place of the fleet's usual one. */
  readonly deadlineMillis?: number;
  readonly ratios: readonly RatioRule[];
}

/** A scenario of service requests on a fleet. */
export function serviceScenario(
  size: FleetSize,
  options: ServiceScenarioOptions,
): Scenario {
  return {
    name: `${size.name}/${options.name}`,
    description: options.description,
    run: seed => new ServiceRunner(size, options, seed).run(),
  };
}

/** Runs all variants of one scenario on the same trace. */
class ServiceRunner {
  private readonly size: FleetSize;
  private readonly faults: readonly Fault[];

  constructor(
    fleet: FleetSize,
    private readonly options: ServiceScenarioOptions,
    private readonly seed: number,
  ) {
    const {deadlineMillis = fleet.deadlineMillis} = options;
    this.size = {...fleet, deadlineMillis};
    this.faults = options.faults ?? [];
  }

  run(): ScenarioResult {
    const {durationMillis, ratios} = this.options;
    const {size, faults} = this;
    const trace = traceOf(size, this.seed, this.options);
    const common = {size, seed: this.seed, trace, faults};
    const product = new ServiceSimulation({...common, hedges: true}).run();
    const rows = [{variant: PRODUCT, figures: product.figures(durationMillis)}];
    if (faults.length > 0) rows.push(this.rowWithoutHedges(trace));
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
    rows.push(...this.referenceRows());
    return {rows, ratios: ratiosOf(rows, ratios)};
  }

  private rowWithoutHedges(trace: readonly TracedRequest[]): ScenarioRow {
    const {size, seed, faults} = this;
    const options = {size, seed, trace, faults, hedges: false};
    const recorder = new ServiceSimulation(options).run();
    const figures = recorder.figures(this.options.durationMillis);
    return {variant: 'product, no hedges', figures};
  }

  private referenceRows(): ScenarioRow[] {
    const {referenceLoad, durationMillis} = this.options;
    if (referenceLoad === undefined) return [];
    const {size, seed} = this;
    const loadAt = () => referenceLoad;
    const trace = traceOf(size, seed, {...this.options, loadAt});
    const options = {size, seed, trace, faults: [], hedges: true};
    const recorder = new ServiceSimulation(options).run();
    return [{variant: REFERENCE, figures: recorder.figures(durationMillis)}];
  }
}

function ratiosOf(
  rows: readonly ScenarioRow[],
  rules: readonly RatioRule[],
): ScenarioRatio[] {
  const product = rows[0].figures;
  const ratios: ScenarioRatio[] = [];
  for (const {figure, against, atMost, atLeast} of rules) {
    const limits = {atMost, atLeast};
    if (against === undefined) {
      ratios.push({name: figure, value: product[figure], ...limits});
      continue;
    }
    const other = rows.find(({variant}) => variant === against);
    if (!other) throw new Error(`No variant is named "${against}".`);
    const value = product[figure] / other.figures[figure];
    ratios.push({name: `${figure} against ${against}`, value, ...limits});
  }
  return ratios;
}

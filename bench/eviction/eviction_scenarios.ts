import {TailGuard} from '../../src/decisions/eviction/tail_guard.js';
import type {TailPolicy} from '../../src/decisions/eviction/tail_policy.js';
import {LatencyHistogram} from '../../src/observability/metrics.js';
import type {Scenario, ScenarioResult, ScenarioRow} from '../scenario.js';
import {fleetSizes} from '../service/fleet_size.js';
import type {FleetSize} from '../service/fleet_size.js';
import {traceOf} from '../service/request_trace.js';
import type {TracedRequest} from '../service/request_trace.js';
import {ServiceSimulation} from '../service/service_simulation.js';
import {BatchFleet, TICK_MILLIS} from './batch_fleet.js';
import {BatchWorkload} from './batch_workload.js';
import {NoProtection, StaticShare} from './tail_baselines.js';

const DURATION_MILLIS = 180_000;
const LOAD = 0.6;
const WAVES = {
  periodMillis: 60_000,
  waveMillis: 30_000,
  noisyShare: 0.5,
};

/** What operators set as target, against the tail that agents then report. */
const TARGET_FACTOR = 1.3;

const PRODUCT = 'product';
const WITHOUT_BATCH = 'without batch';
const UNPROTECTED = 'no protection';

interface BatchVariant {
  readonly variant: string;
  readonly policy: () => TailPolicy;
  /** Whether the owner keeps a kind off VMs that refused or evicted it. */
  readonly backsOff: boolean;
}

const variants: readonly BatchVariant[] = [
  {variant: PRODUCT, policy: () => new TailGuard(), backsOff: true},
  {variant: UNPROTECTED, policy: () => new NoProtection(), backsOff: false},
  {
    variant: 'static half',
    policy: () => new StaticShare(0.5),
    backsOff: false,
  },
  {
    variant: 'without back-off',
    policy: () => new TailGuard(),
    backsOff: false,
  },
];

export const evictionScenarios: readonly Scenario[] = fleetSizes.map(size => ({
  name: `${size.name}/noisy-batch-wave`,
  description:
    '60% load beside batch tasks; half of them are noisy in waves of 30 s',
  run: seed => runNoisyWave(size, seed),
}));

function runNoisyWave(size: FleetSize, seed: number): ScenarioResult {
  const durationMillis = DURATION_MILLIS;
  const trace = traceOf(size, seed, {durationMillis, loadAt: () => LOAD});
  const agentTimes = new LatencyHistogram();
  const alone = withoutBatch(size, seed, trace, agentTimes);
  const rows = [alone];
  for (const variant of variants) {
    const targetMillis = TARGET_FACTOR * agentTimes.quantile(0.99);
    rows.push(withBatch(size, seed, trace, {...variant, targetMillis}));
  }
  const [, product, unprotected, , withoutBackoff] = rows;
  return {
    rows,
    ratios: [
      {
        name: `p99 against ${WITHOUT_BATCH}`,
        value: product.figures.p99 / alone.figures.p99,
        atMost: 1.3,
      },
      {
        name: `batch work against ${UNPROTECTED}`,
        value:
          product.figures['batch work'] / unprotected.figures['batch work'],
        atLeast: 0.85,
      },
      {
        name: `p99 against ${UNPROTECTED}`,
        value: product.figures.p99 / unprotected.figures.p99,
      },
      {
        name: `noisy tasks finished against ${UNPROTECTED}`,
        value: product.figures.noisy / unprotected.figures.noisy,
      },
      {
        name: 'refused starts against no back-off',
        value: product.figures.refusals / withoutBackoff.figures.refusals,
      },
    ],
  };
}

function withoutBatch(
  size: FleetSize,
  seed: number,
  trace: readonly TracedRequest[],
  agentTimes: LatencyHistogram,
): ScenarioRow {
  const simulation = new ServiceSimulation({
    size,
    seed,
    trace,
    faults: [],
    hedges: true,
    observer: () => answerMillis => agentTimes.record(answerMillis),
  });
  return row(WITHOUT_BATCH, simulation, undefined);
}

interface Variant extends BatchVariant {
  readonly targetMillis: number;
}

function withBatch(
  size: FleetSize,
  seed: number,
  trace: readonly TracedRequest[],
  {variant, policy, backsOff, targetMillis}: Variant,
): ScenarioRow {
  const policies = Array.from({length: size.executors}, policy);
  const workload = new BatchWorkload(seed + 1, WAVES);
  const batch = new BatchFleet(policies, workload, targetMillis, backsOff);
  const faults = [];
  for (let at = 0; at < DURATION_MILLIS; at += TICK_MILLIS) {
    const apply = batch.tick.bind(batch, at);
    faults.push({atMillis: at, apply});
  }
  const simulation = new ServiceSimulation({
    size,
    seed,
    trace,
    faults,
    hedges: true,
    observer: index => (answerMillis, serviceMillis, now) =>
      policies[index].observe({answerMillis, serviceMillis}, now),
  });
  return row(variant, simulation, batch);
}

function row(
  variant: string,
  simulation: ServiceSimulation,
  batch: BatchFleet | undefined,
): ScenarioRow {
  const recorder = simulation.run();
  const all = recorder.figures(DURATION_MILLIS);
  const figures = batch?.figures();
  return {
    variant,
    figures: {
      p50: all.p50,
      p99: all.p99,
      'p99.9': all['p99.9'],
      'not run %': all['not run %'],
      'batch work': figures?.workSeconds ?? 0,
      finished: figures?.finished ?? 0,
      noisy: figures?.noisyFinished ?? 0,
      evictions: figures?.evictions ?? 0,
      refusals: figures?.refusals ?? 0,
    },
  };
}

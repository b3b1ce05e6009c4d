import {batchAblations} from './ablation/batch_ablations.js';
import {serviceAblations} from './ablation/service_ablations.js';
import {evictionScenarios} from './eviction/eviction_scenarios.js';
import type {MicroBenchmark, Scenario} from './scenario.js';
import {batchScenarios} from './batch/batch_scenarios.js';
import {placementMicroBenchmarks} from './micro/placement_micro_benchmarks.js';
import {reservationMicroBenchmarks} from './micro/reservation_micro_benchmarks.js';
import {routingMicroBenchmarks} from './micro/routing_micro_benchmarks.js';
import {serviceScenarios} from './service/service_scenarios.js';

/** All that the bench can run, in the order in which it runs them. */
export const scenarios: readonly Scenario[] = [
  ...serviceScenarios,
  ...batchScenarios,
  ...evictionScenarios,
  ...serviceAblations,
  ...batchAblations,
];

export const microBenchmarks: readonly MicroBenchmark[] = [
  ...routingMicroBenchmarks,
  ...placementMicroBenchmarks,
  ...reservationMicroBenchmarks,
];

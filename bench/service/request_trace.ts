import {Random} from '../../src/utilities/random.js';
import type {FleetSize} from './fleet_size.js';

/** One request of a trace, the same for every variant that runs it. */
export interface TracedRequest {
  readonly id: string;
  readonly arrivalMillis: number;
  /** Entry that the balancer picks when all are well. */
  readonly entry: number;
  /** Time that it holds a slot of an executor at usual speed. */
  readonly serviceMillis: number;
  readonly idempotent: boolean;
}

export interface TraceOptions {
  readonly durationMillis: number;
  /** Share of the fleet's slots that requests need, by time. */
  readonly loadAt: (timeMillis: number) => number;
  /** Deviation of the logarithm of the holding time. */
  readonly sigma?: number;
}

const IDEMPOTENT_SHARE = 0.8;

/** Poisson arrivals with lognormal holding times. */
export function traceOf(
  size: FleetSize,
  seed: number,
  {durationMillis, loadAt, sigma = 1}: TraceOptions,
): TracedRequest[] {
  const random = new Random(seed);
  const fullRate = (size.executors * size.slots) / size.meanServiceMillis;
  const requests: TracedRequest[] = [];
  let time = 0;
  for (;;) {
    time += random.exponential(1 / (fullRate * loadAt(time)));
    if (time >= durationMillis) return requests;
    requests.push({
      id: `r${requests.length}`,
      arrivalMillis: time,
      entry: random.below(size.entries),
      serviceMillis: random.lognormal(size.meanServiceMillis, sigma),
      idempotent: random.unit() < IDEMPOTENT_SHARE,
    });
  }
}

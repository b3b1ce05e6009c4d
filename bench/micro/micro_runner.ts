import type {MicroBenchmark} from '../scenario.js';

const WARM_UP_BATCHES = 200;
const BATCHES = 1000;
const LONGEST_MILLIS = 5000;
const TARGET_BATCH_MICROS = 500;
const MICROS_PER_MILLI = 1000;

export interface MicroFigures {
  readonly medianMicros: number;
  readonly p99Micros: number;
}

/** Times a decision in batches, so that the clock's own cost is spread. */
export function measure(benchmark: MicroBenchmark, seed: number): MicroFigures {
  const decide = benchmark.prepare(seed);
  const batch = Math.ceil(TARGET_BATCH_MICROS / benchmark.targetMicros);
  for (let index = 0; index < WARM_UP_BATCHES; index++) time(decide, batch);
  const samples: number[] = [];
  const begin = performance.now();
  while (samples.length < BATCHES) {
    samples.push(time(decide, batch));
    if (performance.now() - begin > LONGEST_MILLIS) break;
  }
  samples.sort((left, right) => left - right);
  return {
    medianMicros: samples[Math.floor(samples.length / 2)],
    p99Micros: samples[Math.floor(samples.length * 0.99)],
  };
}

function time(decide: () => void, batch: number): number {
  const begin = performance.now();
  for (let index = 0; index < batch; index++) decide();
  return ((performance.now() - begin) * MICROS_PER_MILLI) / batch;
}

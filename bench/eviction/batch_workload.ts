import {Random} from '../../src/utilities/random.js';

/** A kind of batch task and what it does to the service beside it. */
export interface BatchKind {
  readonly name: string;
  /** Growth of the logarithm of service times by a full load of the VM. */
  readonly effect: number;
}

/** One task of the trace, the same for every variant that runs it. */
export interface BatchTask {
  readonly id: string;
  /** Order of arrival. */
  readonly sequence: number;
  readonly kind: BatchKind;
  readonly runMillis: number;
}

/** Waves in which part of the tasks are noisy. */
export interface NoisyWaves {
  readonly periodMillis: number;
  readonly waveMillis: number;
  readonly noisyShare: number;
}

export const QUIET_KINDS: readonly BatchKind[] = [
  {name: 'build', effect: 0.1},
  {name: 'index', effect: 0.3},
];
export const NOISY_KIND: BatchKind = {name: 'scan', effect: 1.5};

const MEAN_RUN_MILLIS = 15_000;
const RUN_SIGMA = 0.5;

/** Tasks without end, in the order in which they are to be started. */
export class BatchWorkload {
  private readonly random: Random;
  private count = 0;

  constructor(
    seed: number,
    private readonly waves: NoisyWaves,
  ) {
    this.random = new Random(seed);
  }

  next(now: number): BatchTask {
    const kind = this.kindAt(now);
    const runMillis = this.random.lognormal(MEAN_RUN_MILLIS, RUN_SIGMA);
    const sequence = this.count++;
    return {id: `t${sequence}`, sequence, kind, runMillis};
  }

  private kindAt(now: number): BatchKind {
    const {periodMillis, waveMillis, noisyShare} = this.waves;
    const isWave = now % periodMillis >= periodMillis - waveMillis;
    const chance = this.random.unit();
    const pick = this.random.below(QUIET_KINDS.length);
    return isWave && chance < noisyShare ? NOISY_KIND : QUIET_KINDS[pick];
  }
}

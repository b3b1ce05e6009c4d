/** Share of a VM's processors that each kind's tasks may use, from 0 to 1. */
export type KindLoads = ReadonlyMap<string, number>;

const BASELINE = 0;
const BASELINE_DEVIATION = 1;
const EFFECT_MEAN = 0.1;
const EFFECT_DEVIATION = 1;

/** Variance of the model error, which remains with many responses. */
const MODEL_VARIANCE = 1e-4;

/** Initial variance of one logarithm, its smoothing and its minimum. */
const INITIAL_SAMPLE_VARIANCE = 1;
const SAMPLE_VARIANCE_SMOOTHING = 0.1;
const MINIMUM_SAMPLE_VARIANCE = 0.01;

/** Growth of the variances per second, so that old observations fade. */
const DRIFT_VARIANCE = 2e-4;

const MAXIMUM_KINDS = 16;

/** Variance of a time uniformly distributed over a period of length 1. */
const UNIFORM_VARIANCE = 1 / 12;

/** The loads at the two ends of a period. */
export interface PeriodLoads {
  readonly first: KindLoads;
  readonly last: KindLoads;
}

/** Statistics of the natural logarithms of one period's service times. */
export interface ServiceTimes {
  readonly count: number;
  readonly meanLog: number;
  readonly varianceOfLog: number;
}

/**
 * Learns how much each kind of task slows a service down, from the service
 * times beside changing mixes of tasks. The logarithm of the service time is
 * modelled as a baseline plus each kind's effect times its load; a Kalman
 * filter estimates both, with their uncertainties.
 */
export class InterferenceEstimator {
  private readonly kinds = ['baseline'];
  private means = [BASELINE];
  private covariance = [[BASELINE_DEVIATION ** 2]];
  private hasBaseline = false;
  private sampleVariance = INITIAL_SAMPLE_VARIANCE;

  /** Applies a period's service times and the loads during it. */
  observe(
    times: ServiceTimes,
    {first, last}: PeriodLoads,
    elapsedMillis: number,
  ): void {
    const {count, meanLog, varianceOfLog} = times;
    if (count === 0) return;
    this.sampleVariance +=
      SAMPLE_VARIANCE_SMOOTHING * (varianceOfLog - this.sampleVariance);
    const variance = this.varianceOfLog;
    if (!this.hasBaseline) this.means[0] = meanLog;
    this.hasBaseline = true;
    const loads = meanLoads(first, last);
    for (const kind of loads.keys()) this.addKind(kind);
    this.drift(elapsedMillis);
    const noise =
      variance / count + MODEL_VARIANCE + this.changeVariance(first, last);
    this.update(meanLog, noise, loads);
  }

  /** Variance of the logarithm of one service time. */
  get varianceOfLog(): number {
    return Math.max(this.sampleVariance, MINIMUM_SAMPLE_VARIANCE);
  }

  /** Returns the increase of log service time at full load of the kind. */
  effect(kind: string): number {
    const index = this.kinds.indexOf(kind, 1);
    return index < 0 ? EFFECT_MEAN : Math.max(0, this.means[index]);
  }

  /** Returns the standard deviation of the kind's effect. */
  deviation(kind: string): number {
    const index = this.kinds.indexOf(kind, 1);
    if (index < 0) return EFFECT_DEVIATION;
    return Math.sqrt(this.covariance[index][index]);
  }

  knownKinds(): string[] {
    return this.kinds.slice(1);
  }

  private addKind(kind: string): void {
    if (this.kinds.includes(kind, 1)) return;
    if (this.kinds.length > MAXIMUM_KINDS) return;
    this.kinds.push(kind);
    this.means.push(EFFECT_MEAN);
    for (const row of this.covariance) row.push(0);
    const added = this.kinds.map(() => 0);
    added[this.kinds.length - 1] = EFFECT_DEVIATION ** 2;
    this.covariance.push(added);
  }

  private drift(elapsedMillis: number): void {
    const growth = (DRIFT_VARIANCE * elapsedMillis) / 1_000;
    for (const [index, row] of this.covariance.entries()) {
      const limit = index === 0 ? BASELINE_DEVIATION : EFFECT_DEVIATION;
      row[index] = Math.max(
        row[index],
        Math.min(limit ** 2, row[index] + growth),
      );
    }
  }

  /** Returns the variance due to the unknown times of load changes. */
  private changeVariance(first: KindLoads, last: KindLoads): number {
    let variance = 0;
    for (const kind of this.knownKinds()) {
      const change = (last.get(kind) ?? 0) - (first.get(kind) ?? 0);
      const effect = this.effect(kind) + this.deviation(kind);
      variance += (change * effect) ** 2 * UNIFORM_VARIANCE;
    }
    return variance;
  }

  private update(measured: number, noise: number, loads: KindLoads): void {
    const weights = this.kinds.map((kind, index) =>
      index === 0 ? 1 : (loads.get(kind) ?? 0),
    );
    const spread = this.covariance.map(row => dot(row, weights));
    const variance = dot(weights, spread) + noise;
    const innovation = measured - dot(weights, this.means);
    const gains = spread.map(value => value / variance);
    this.means = this.means.map(
      (mean, index) => mean + gains[index] * innovation,
    );
    for (const [index, row] of this.covariance.entries()) {
      for (const column of row.keys()) {
        row[column] -= gains[index] * spread[column];
      }
    }
  }
}

/** Returns the mean of the loads at the two ends of a period. */
function meanLoads(first: KindLoads, last: KindLoads): Map<string, number> {
  const mean = new Map<string, number>();
  for (const kind of new Set([...first.keys(), ...last.keys()])) {
    mean.set(kind, ((first.get(kind) ?? 0) + (last.get(kind) ?? 0)) / 2);
  }
  return mean;
}

function dot(left: readonly number[], right: readonly number[]): number {
  let sum = 0;
  for (const [index, value] of left.entries()) sum += value * right[index];
  return sum;
}

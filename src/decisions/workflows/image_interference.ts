/**
 * Load pattern: a best-effort task raises the tail latency of a
 * latency-critical task on the same worker, by an amount that depends on the
 * pair of images. Three pairs in four hardly interfere; of the others a single
 * best-effort task can take a latency-critical one over its target. The tail
 * also follows the load of the latency-critical task, which varies from second
 * to second.
 */

/** The tail latency of a latency-critical task. */
export interface Tail {
  readonly image: string;
  /** Tail ratio; 0 before the first measurement. */
  readonly ratio: number;
}

/** A measured tail and the best-effort work on its worker at that time. */
export interface TailSample extends Tail {
  /** Share of the worker's processors that each best-effort image used. */
  readonly bestEffortShares: ReadonlyMap<string, number>;
}

/**
 * Initial interference of a pair of images and its variance: about those of the
 * pairs measured on days of two deployments.
 */
const INITIAL_INTERFERENCE = 2;
const INITIAL_VARIANCE = 20;
/**
 * Keeps estimates adaptive, as the interference of a pair may drift. Of the
 * values from 0.03 to 1, the lowest best told which pairs of a recorded day
 * interfere.
 */
const MINIMUM_VARIANCE = 0.05;
/** Smaller changes, as a share of the processors, are ignored. */
const MINIMUM_CHANGE = 0.01;
/**
 * Standard deviation of the change of the logarithm of a tail in half a second,
 * while the best-effort work on the worker is unchanged.
 */
const NOISE = 0.24;
const NOISE_MILLIS = 500;
/** A tail ratio below this was not measured yet. */
const MINIMUM_RATIO = 0.02;
/**
 * Pairs interfere by 1 and more or not at all: an estimate below this is noise.
 */
const MINIMUM_ESTIMATE = 0.6;
/** Below this variance an estimate tells if a pair interferes. */
const CERTAIN_VARIANCE = 0.5;
/** A smaller relative increase of a tail is ignored. */
export const MINIMUM_INTERFERENCE = 0.03;
/** Assumed tail ratio of a run without a measurement. */
const UNMEASURED_RATIO = 0.35;
/** Samples closer together overlap; farther apart, the load has changed. */
const MINIMUM_ELAPSED_MILLIS = 300;
const MAXIMUM_ELAPSED_MILLIS = 1_500;

/** What was learned about a pair of images. */
export interface LearnedPair {
  readonly latencyCriticalImage: string;
  readonly bestEffortImage: string;
  readonly interference: number;
  readonly variance: number;
}

interface Estimate {
  interference: number;
  variance: number;
}

/**
 * Learns the interference of each pair of images from the changes of a tail
 * when the best-effort work on its worker changes. Best-effort work multiplies
 * the tail that the load causes, so the logarithms add up. A Kalman filter
 * weighs each change by the variance of the estimates for the pairs and by the
 * usual noise of tails.
 */
export class ImageInterference {
  /** By the latency-critical image, then by the best-effort one. */
  private readonly estimates = new Map<string, Map<string, Estimate>>();
  private changes = 0;

  /** Grows with each change of an estimate. */
  get changeCount(): number {
    return this.changes;
  }

  /** Returns all estimates that differ from the initial one. */
  learnedPairs(): LearnedPair[] {
    const pairs: LearnedPair[] = [];
    for (const [latencyCriticalImage, ofImage] of this.estimates) {
      for (const [bestEffortImage, estimate] of ofImage) {
        pairs.push({latencyCriticalImage, bestEffortImage, ...estimate});
      }
    }
    return pairs;
  }

  /** Adopts what an earlier owner of the pool has learned. */
  restore(pairs: readonly LearnedPair[]): void {
    for (const pair of pairs) {
      const estimate = this.estimateOf(
        pair.latencyCriticalImage,
        pair.bestEffortImage,
      );
      estimate.interference = pair.interference;
      estimate.variance = pair.variance;
    }
  }

  /**
   * Returns the upper end of what is likely for the pair: the estimate plus
   * one standard deviation.
   */
  likelyMaximum(latencyCriticalImage: string, bestEffortImage: string): number {
    const {interference, variance} = this.estimates
      .get(latencyCriticalImage)
      ?.get(bestEffortImage) ?? {
      interference: INITIAL_INTERFERENCE,
      variance: INITIAL_VARIANCE,
    };
    return interference + Math.sqrt(variance);
  }

  /** Returns the tail ratio; a usual one for a run without a measurement. */
  ratioOf({ratio}: Tail): number {
    return ratio < MINIMUM_RATIO ? UNMEASURED_RATIO : ratio;
  }

  /**
   * Returns the logarithm of the factor by which the best-effort image would
   * raise the tail if it used all processors of a worker.
   */
  interferenceOf(
    latencyCriticalImage: string,
    bestEffortImage: string,
  ): number {
    const estimate = this.estimates
      .get(latencyCriticalImage)
      ?.get(bestEffortImage);
    const interference = estimate?.interference ?? INITIAL_INTERFERENCE;
    return interference < MINIMUM_ESTIMATE ? 0 : interference;
  }

  /** True if the estimate is certain enough to tell if the pair interferes. */
  isCertain(latencyCriticalImage: string, bestEffortImage: string): boolean {
    const estimate = this.estimates
      .get(latencyCriticalImage)
      ?.get(bestEffortImage);
    return estimate !== undefined && estimate.variance < CERTAIN_VARIANCE;
  }

  /** True if this share of the best-effort image interferes with the other. */
  interferes(
    latencyCriticalImage: string,
    bestEffortImage: string,
    share: number,
  ): boolean {
    return (
      this.interferenceOf(latencyCriticalImage, bestEffortImage) * share >=
      MINIMUM_INTERFERENCE
    );
  }

  /** Returns the tail ratio expected if the image uses this much more. */
  expectedRatio(tail: Tail, bestEffortImage: string, share: number): number {
    return (
      this.ratioOf(tail) *
      Math.exp(this.interferenceOf(tail.image, bestEffortImage) * share)
    );
  }

  /** Updates the estimates from two samples of one latency-critical task. */
  observe(before: TailSample, after: TailSample, elapsedMillis: number): void {
    if (elapsedMillis < MINIMUM_ELAPSED_MILLIS) return;
    if (elapsedMillis > MAXIMUM_ELAPSED_MILLIS) return;
    if (Math.min(before.ratio, after.ratio) < MINIMUM_RATIO) return;
    const changes = changesBetween(
      before.bestEffortShares,
      after.bestEffortShares,
    );
    if (changes.length === 0) return;
    let variance = NOISE ** 2 * (elapsedMillis / NOISE_MILLIS);
    let expected = 0;
    for (const {image, change} of changes) {
      const estimate = this.estimateOf(after.image, image);
      variance += estimate.variance * change ** 2;
      expected += estimate.interference * change;
    }
    this.changes++;
    const error = Math.log(after.ratio / before.ratio) - expected;
    for (const {image, change} of changes) {
      const estimate = this.estimateOf(after.image, image);
      const gain = (estimate.variance * change) / variance;
      estimate.interference = Math.max(0, estimate.interference + gain * error);
      const left = estimate.variance * (1 - gain * change);
      estimate.variance = Math.max(MINIMUM_VARIANCE, left);
    }
  }

  private estimateOf(
    latencyCriticalImage: string,
    bestEffortImage: string,
  ): Estimate {
    const ofImage =
      this.estimates.get(latencyCriticalImage) ?? new Map<string, Estimate>();
    this.estimates.set(latencyCriticalImage, ofImage);
    const known = ofImage.get(bestEffortImage);
    if (known) return known;
    const first = {
      interference: INITIAL_INTERFERENCE,
      variance: INITIAL_VARIANCE,
    };
    ofImage.set(bestEffortImage, first);
    return first;
  }
}

function changesBetween(
  before: ReadonlyMap<string, number>,
  after: ReadonlyMap<string, number>,
): Array<{image: string; change: number}> {
  const changes: Array<{image: string; change: number}> = [];
  for (const image of new Set([...before.keys(), ...after.keys()])) {
    const change = (after.get(image) ?? 0) - (before.get(image) ?? 0);
    if (Math.abs(change) >= MINIMUM_CHANGE) changes.push({image, change});
  }
  return changes;
}

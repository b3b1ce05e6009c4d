import {xoroshiro128plus} from 'pure-rand';
import type {RandomGenerator} from 'pure-rand';

const UNIT_SCALE = 2 ** 32;

/** A seeded random number generator; equal seeds give equal sequences. */
export class Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  unit(): number {
    return (this.generator.unsafeNext() >>> 0) / UNIT_SCALE;
  }

  /** Returns an integer from 0 (inclusive) to the bound (exclusive). */
  below(bound: number): number {
    return Math.floor(this.unit() * bound);
  }

  /** Returns the duration, randomly varied by up to the share either way. */
  jitter(durationMillis: number, share: number): number {
    return durationMillis * (1 + share * (2 * this.unit() - 1));
  }

  /** Returns an exponentially distributed number with the mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.unit());
  }

  /** Returns a number of the standard normal distribution. */
  normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.unit()));
    return radius * Math.cos(2 * Math.PI * this.unit());
  }

  /**
   * Returns a lognormally distributed number with the mean; `sigma` is the
   * standard deviation of its logarithm.
   */
  lognormal(mean: number, sigma: number): number {
    return mean * Math.exp(sigma * this.normal() - (sigma * sigma) / 2);
  }
}

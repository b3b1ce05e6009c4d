import {xoroshiro128plus} from 'pure-rand';
import type {RandomGenerator} from 'pure-rand';

const UNIT_SCALE = 2 ** 32;

/** A seeded source of random numbers: the same seed gives the same numbers. */
export class Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number from 0 (included) to 1 (excluded). */
  unit(): number {
    return (this.generator.unsafeNext() >>> 0) / UNIT_SCALE;
  }

  /** A whole number from 0 (included) to the bound (excluded). */
  below(bound: number): number {
    return Math.floor(this.unit() * bound);
  }

  /** The duration, changed at random by up to the share either way. */
  jitter(durationMillis: number, share: number): number {
    return durationMillis * (1 + share * (2 * this.unit() - 1));
  }

  /** An exponentially distributed number with the mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.unit());
  }

  /** A normally distributed number with mean 0 and deviation 1. */
  normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.unit()));
    return radius * Math.cos(2 * Math.PI * this.unit());
  }

  /** A lognormally distributed number with the mean and the log's deviation. */
  lognormal(mean: number, sigma: number): number {
    return mean * Math.exp(sigma * this.normal() - (sigma * sigma) / 2);
  }
}

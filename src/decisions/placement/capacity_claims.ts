import {hashOf} from '../../utilities/text_hash.js';
import type {Random} from '../../utilities/random.js';

const MAXIMUM_PROBABILITY = 1;
const MINIMUM_PROBABILITY = 0.05;
const REFUSED_FACTOR = 0.8;
const ACCEPTED_FACTOR = 1.02;

/** Decides whether a shard uses free capacity that other shards see too. */
export interface CapacityClaims {
  /** True if the free capacity of the latest heartbeat is to be used. */
  shouldClaim(vm: string): boolean;
  /** Called when an agent accepted a start. */
  accepted(): void;
  /** Called when an agent refused a start for lack of capacity. */
  refused(): void;
}

/** Claims all free capacity that the shard sees. */
export class ClaimAll implements CapacityClaims {
  shouldClaim(): boolean {
    return true;
  }

  accepted(): void {}

  refused(): void {}
}

/**
 * Shards see the same free capacity on a VM and race for it; the agent refuses
 * all but one. After a heartbeat, a shard therefore claims capacity that it did
 * not free itself always on the VMs assigned to it by hash, and on other VMs
 * only with a probability, which refusals lower and accepted starts raise.
 */
export class AdaptiveClaims implements CapacityClaims {
  private probability = MAXIMUM_PROBABILITY;

  constructor(
    private readonly random: Random,
    private readonly shard: number,
    private readonly shards: number,
  ) {}

  shouldClaim(vm: string): boolean {
    if (hashOf(vm) % this.shards === this.shard) return true;
    return this.random.unit() < this.probability;
  }

  accepted(): void {
    this.probability = Math.min(
      MAXIMUM_PROBABILITY,
      this.probability * ACCEPTED_FACTOR,
    );
  }

  refused(): void {
    this.probability = Math.max(
      MINIMUM_PROBABILITY,
      this.probability * REFUSED_FACTOR,
    );
  }
}

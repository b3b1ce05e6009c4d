import {hashOf} from '../../utilities/text_hash.js';
import type {Random} from '../../utilities/random.js';

const GREATEST_SHARE = 1;
const LEAST_SHARE = 0.05;
const REFUSED_FACTOR = 0.8;
const ACCEPTED_FACTOR = 1.02;

/** Decides whether a shard reaches for room that others see too. */
export interface RoomClaims {
  /** Whether to use the room that the heartbeat just showed. */
  draw(vm: string): boolean;
  /** A start was accepted. */
  accepted(): void;
  /** A start was refused for want of room. */
  refused(): void;
}

/** Reaches for all room that it sees. */
export class ClaimAll implements RoomClaims {
  draw(): boolean {
    return true;
  }

  accepted(): void {}

  refused(): void {}
}

/**
 * Shards see the same room on a VM and race for it; the agent refuses all but
 * one. After a heartbeat a shard therefore claims the room that it did not free
 * itself always on the VMs that are its own share, and on others only with a
 * probability, which refusals lower and accepted starts raise.
 */
export class AdaptiveClaims implements RoomClaims {
  private share = GREATEST_SHARE;

  constructor(
    private readonly random: Random,
    private readonly shard: number,
    private readonly shards: number,
  ) {}

  draw(vm: string): boolean {
    if (hashOf(vm) % this.shards === this.shard) return true;
    return this.random.unit() < this.share;
  }

  accepted(): void {
    this.share = Math.min(GREATEST_SHARE, this.share * ACCEPTED_FACTOR);
  }

  refused(): void {
    this.share = Math.max(LEAST_SHARE, this.share * REFUSED_FACTOR);
  }
}

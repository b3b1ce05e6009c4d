import type {Random} from '../../utilities/random.js';
import {expectedWaitMillis} from './routing_policy.js';
import type {RoutingPolicy, UpstreamView} from './routing_policy.js';

/** Up to this many upstreams are all looked at; of more, a sample. */
const MOST_COMPARED = 32;
const SAMPLE_SIZE = 16;
/** Stands in for a holding time that no upstream has reported yet. */
const UNKNOWN_SERVICE_MILLIS = 10;
/** Extra expected time of an upstream that should rather not be used. */
const AVOIDED_PENALTY_MILLIS = 1000;
/** Weight of slots that are taken while others are free. */
const OCCUPANCY_WEIGHT = 0.05;

export interface LeastExpectedTimeOptions {
  /** Round trip to another failure domain, in milliseconds. */
  readonly crossingMillis?: number;
}

/**
 * Picks the upstream that should answer first: its queue, the time that it
 * takes for a request, and the way to another failure domain all count.
 */
export class LeastExpectedTimePolicy implements RoutingPolicy {
  readonly name = 'least expected time';
  private readonly crossingMillis: number;

  constructor({crossingMillis = 3}: LeastExpectedTimeOptions = {}) {
    this.crossingMillis = crossingMillis;
  }

  choose(candidates: readonly UpstreamView[], random: Random): UpstreamView {
    if (candidates.length <= MOST_COMPARED) {
      return this.least(candidates, random.below(candidates.length));
    }
    const sample: UpstreamView[] = [];
    for (let index = 0; index < SAMPLE_SIZE; index++) {
      sample.push(candidates[random.below(candidates.length)]);
    }
    return this.least(sample, 0);
  }

  private least(
    candidates: readonly UpstreamView[],
    offset: number,
  ): UpstreamView {
    let best = candidates[offset];
    let bestMillis = this.expectedMillis(best);
    for (let index = 1; index < candidates.length; index++) {
      const candidate = candidates[(offset + index) % candidates.length];
      const millis = this.expectedMillis(candidate);
      if (millis >= bestMillis) continue;
      best = candidate;
      bestMillis = millis;
    }
    return best;
  }

  private expectedMillis(upstream: UpstreamView): number {
    const service = upstream.serviceMillis || UNKNOWN_SERVICE_MILLIS;
    const occupancy = upstream.estimatedLoad / Math.max(1, upstream.slots);
    let millis = service * (1 + OCCUPANCY_WEIGHT * occupancy);
    millis += expectedWaitMillis(upstream);
    if (!upstream.isLocal) millis += this.crossingMillis;
    if (upstream.isAvoided) millis += AVOIDED_PENALTY_MILLIS;
    return millis;
  }
}

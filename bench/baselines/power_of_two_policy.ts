import type {
  RoutingPolicy,
  UpstreamView,
} from '../../src/decisions/routing/routing_policy.js';
import type {Random} from '../../src/utilities/random.js';

/** Of two random upstreams, the one with fewer requests of this entry. */
export class PowerOfTwoPolicy implements RoutingPolicy {
  readonly name = 'power of two';

  choose(candidates: readonly UpstreamView[], random: Random): UpstreamView {
    const first = candidates[random.below(candidates.length)];
    const second = candidates[random.below(candidates.length)];
    return second.ownInFlight < first.ownInFlight ? second : first;
  }
}

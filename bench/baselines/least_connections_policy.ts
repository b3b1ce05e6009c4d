import type {
  RoutingPolicy,
  UpstreamView,
} from '../../src/decisions/routing/routing_policy.js';
import type {Random} from '../../src/utilities/random.js';

/** The upstream with the fewest requests of this entry. */
export class LeastConnectionsPolicy implements RoutingPolicy {
  readonly name = 'least connections';

  choose(candidates: readonly UpstreamView[], random: Random): UpstreamView {
    const offset = random.below(candidates.length);
    let best = candidates[offset];
    for (let index = 1; index < candidates.length; index++) {
      const candidate = candidates[(offset + index) % candidates.length];
      if (candidate.ownInFlight < best.ownInFlight) best = candidate;
    }
    return best;
  }
}

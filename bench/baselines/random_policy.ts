import type {
  RoutingPolicy,
  UpstreamView,
} from '../../src/decisions/routing/routing_policy.js';
import type {Random} from '../../src/utilities/random.js';

/** Any upstream, with equal chances. */
export class RandomPolicy implements RoutingPolicy {
  readonly name = 'random';

  choose(candidates: readonly UpstreamView[], random: Random): UpstreamView {
    return candidates[random.below(candidates.length)];
  }
}

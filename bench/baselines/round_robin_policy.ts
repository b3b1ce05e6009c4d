import type {
  RoutingPolicy,
  UpstreamView,
} from '../../src/decisions/routing/routing_policy.js';

/** One upstream after the other. */
export class RoundRobinPolicy implements RoutingPolicy {
  readonly name = 'round robin';
  private next = 0;

  choose(candidates: readonly UpstreamView[]): UpstreamView {
    return candidates[this.next++ % candidates.length];
  }
}

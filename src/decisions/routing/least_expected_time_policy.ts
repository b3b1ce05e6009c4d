import type {Random} from '../../utilities/random.js';
import type {RoutingPolicy, UpstreamView} from './routing_policy.js';

/** Service time assumed until an upstream reports one. */
const UNKNOWN_SERVICE_MILLIS = 10;
/** Added to the expected time of an upstream in an avoided domain. */
const AVOIDED_PENALTY_MILLIS = 1000;
/** Service times that differ from the usual by less count as equal. */
const NOISE_SHARE = 0.2;
/** Typical error of an estimated load, in requests. */
const LOAD_UNCERTAINTY = 1;

export interface LeastExpectedTimeOptions {
  /** Round trip to another failure domain, in milliseconds. */
  readonly crossingMillis?: number;
}

/**
 * Picks the upstream with the least expected response time, from its queue, its
 * service time and the round trip to another failure domain.
 */
export class LeastExpectedTimePolicy implements RoutingPolicy {
  readonly name = 'least expected time';
  private readonly crossingMillis: number;

  constructor({crossingMillis = 3}: LeastExpectedTimeOptions = {}) {
    this.crossingMillis = crossingMillis;
  }

  choose(candidates: readonly UpstreamView[], random: Random): UpstreamView {
    const offset = random.below(candidates.length);
    const usualMillis = usualServiceMillis(candidates);
    let best = candidates[offset];
    let bestMillis = this.expectedMillis(best, usualMillis);
    for (let index = 1; index < candidates.length; index++) {
      const candidate = candidates[(offset + index) % candidates.length];
      const millis = this.expectedMillis(candidate, usualMillis);
      if (millis >= bestMillis) continue;
      best = candidate;
      bestMillis = millis;
    }
    return best;
  }

  private expectedMillis(upstream: UpstreamView, usualMillis: number): number {
    const service = usualMillis * slowdownOf(upstream, usualMillis);
    let millis = service + waitMillis(upstream, service);
    if (!upstream.isLocal) millis += this.crossingMillis;
    if (upstream.isAvoided) millis += AVOIDED_PENALTY_MILLIS;
    return millis;
  }
}

/** Returns the harmonic mean, on which a few slow upstreams weigh little. */
function usualServiceMillis(candidates: readonly UpstreamView[]): number {
  let known = 0;
  let rates = 0;
  for (const {serviceMillis} of candidates) {
    if (serviceMillis <= 0) continue;
    known++;
    rates += 1 / serviceMillis;
  }
  return known === 0 ? UNKNOWN_SERVICE_MILLIS : known / rates;
}

/** Returns the ratio to the usual service time, with noise removed. */
function slowdownOf(upstream: UpstreamView, usualMillis: number): number {
  if (upstream.serviceMillis <= 0) return 1;
  const ratio = upstream.serviceMillis / usualMillis;
  if (ratio > 1 + NOISE_SHARE) return ratio - NOISE_SHARE;
  if (ratio < 1 / (1 + NOISE_SHARE)) return ratio * (1 + NOISE_SHARE);
  return 1;
}

/**
 * Returns the expected time in the queue. As the load is an estimate, the time
 * rises smoothly before the last slot is taken.
 */
function waitMillis(upstream: UpstreamView, serviceMillis: number): number {
  const slots = Math.max(1, upstream.slots);
  const ahead = (upstream.estimatedLoad + 1 - slots) / LOAD_UNCERTAINTY;
  const smooth = ahead > 20 ? ahead : Math.log1p(Math.exp(ahead));
  return (smooth * LOAD_UNCERTAINTY * serviceMillis) / slots;
}

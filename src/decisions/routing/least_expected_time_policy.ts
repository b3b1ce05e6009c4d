import type {Random} from '../../utilities/random.js';
import type {RoutingPolicy, UpstreamView} from './routing_policy.js';

/** Stands in for a holding time that no upstream has reported yet. */
const UNKNOWN_SERVICE_MILLIS = 10;
/** Extra expected time of an upstream that should rather not be used. */
const AVOIDED_PENALTY_MILLIS = 1000;
/** Holding times that differ from the usual by less are taken as equal. */
const NOISE_SHARE = 0.2;
/** Requests by which an estimated load may well be wrong. */
const LOAD_UNCERTAINTY = 1;

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

/** The harmonic mean of the holding times: a few slow ones weigh little. */
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

/** How many times longer than usual it takes, less what may be noise. */
function slowdownOf(upstream: UpstreamView, usualMillis: number): number {
  if (upstream.serviceMillis <= 0) return 1;
  const ratio = upstream.serviceMillis / usualMillis;
  if (ratio > 1 + NOISE_SHARE) return ratio - NOISE_SHARE;
  if (ratio < 1 / (1 + NOISE_SHARE)) return ratio * (1 + NOISE_SHARE);
  return 1;
}

/**
 * Expected time in the queue. The load is an estimate, so the expectation
 * rises smoothly before the last slot is taken.
 */
function waitMillis(upstream: UpstreamView, serviceMillis: number): number {
  const slots = Math.max(1, upstream.slots);
  const ahead = (upstream.estimatedLoad + 1 - slots) / LOAD_UNCERTAINTY;
  const smooth = ahead > 20 ? ahead : Math.log1p(Math.exp(ahead));
  return (smooth * LOAD_UNCERTAINTY * serviceMillis) / slots;
}

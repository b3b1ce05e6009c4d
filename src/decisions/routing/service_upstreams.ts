import {QuantileTracker} from '../retries/quantile_tracker.js';
import {RetryBudget} from '../retries/retry_budget.js';
import type {Random} from '../../utilities/random.js';
import {HealthState} from './upstream_health.js';
import type {UpstreamState} from './upstream_state.js';

/** Services with more upstreams than this compare a random sample. */
const MAXIMUM_COMPARED = 32;
const HEDGE_QUANTILE = 0.95;
/** Upstreams added later than this after the service get a slow start. */
const ALL_NEW_MILLIS = 3000;

/** The upstreams of one service that may receive a request now. */
export interface Candidates {
  /** Upstreams for the policy to compare. */
  readonly usable: UpstreamState[];
  /** Formerly ejected upstream that gets this request as a probe. */
  readonly probe: UpstreamState | undefined;
}

/** The upstreams of one service and its retry state at this entry. */
export class ServiceUpstreams {
  private readonly upstreams = new Map<string, UpstreamState>();
  /** The same upstreams as an array, for random sampling. */
  private list: UpstreamState[] = [];
  readonly retryBudget: RetryBudget;
  readonly answerTimes = new QuantileTracker(HEDGE_QUANTILE);

  constructor(
    retryBudgetShare: number,
    private readonly knownSince: number,
  ) {
    this.retryBudget = new RetryBudget(retryBudgetShare);
  }

  /**
   * Selects the upstreams that may receive a request. At most the given share
   * of open upstreams is left out for poor health; beyond it, the unhealthy
   * ones with the fewest requests in flight are compared too.
   */
  candidates(
    excluded: ReadonlySet<string> | undefined,
    maximumEjectedShare: number,
    random: Random,
    now: number,
  ): Candidates {
    const healthy: UpstreamState[] = [];
    const starting: UpstreamState[] = [];
    const unhealthy: UpstreamState[] = [];
    let open = 0;
    let probe: UpstreamState | undefined;
    for (const upstream of this.compared(random)) {
      if (!upstream.isOpen) continue;
      open++;
      const state = upstream.healthAt(now);
      if (excluded?.has(upstream.agentId)) continue;
      upstream.refresh(now);
      if (state === HealthState.HEALTHY) {
        const share = upstream.health.slowStartShare(now);
        const isEligible = share >= 1 || random.unit() < share;
        (isEligible ? healthy : starting).push(upstream);
        continue;
      }
      unhealthy.push(upstream);
      if (state !== HealthState.PROBING) continue;
      if (upstream.health.mayProbe(now)) probe = upstream;
    }
    const maximumLeftOut = Math.floor(open * maximumEjectedShare);
    healthy.push(...leastLoaded(unhealthy, unhealthy.length - maximumLeftOut));
    if (healthy.length > 0) return {usable: healthy, probe};
    return {usable: starting.length > 0 ? starting : unhealthy, probe};
  }

  add(upstream: UpstreamState, now: number): void {
    const isNew = now - this.knownSince > ALL_NEW_MILLIS;
    if (isNew) upstream.health.returned(now);
    this.upstreams.set(upstream.agentId, upstream);
    this.list = [...this.upstreams.values()];
  }

  /** Returns false if the agent is not known. */
  remove(agentId: string): boolean {
    if (!this.upstreams.delete(agentId)) return false;
    this.list = [...this.upstreams.values()];
    return true;
  }

  find(agentId: string): UpstreamState | undefined {
    return this.upstreams.get(agentId);
  }

  all(): readonly UpstreamState[] {
    return this.list;
  }

  /** True if a healthy upstream is estimated to have a free slot. */
  hasSpareSlot(now: number): boolean {
    for (const upstream of this.list) {
      if (!isHealthy(upstream, now)) continue;
      if (upstream.estimatedLoad < upstream.slots) return true;
    }
    return false;
  }

  /** Returns all upstreams if there are few, otherwise a random sample. */
  private compared(random: Random): readonly UpstreamState[] {
    if (this.list.length <= MAXIMUM_COMPARED) return this.list;
    const drawn = new Set<UpstreamState>();
    for (let draw = 0; draw < MAXIMUM_COMPARED; draw++) {
      drawn.add(this.list[random.below(this.list.length)]);
    }
    return [...drawn];
  }

  hasHealthyUpstream(now: number): boolean {
    for (const upstream of this.list) {
      if (isHealthy(upstream, now)) return true;
    }
    return false;
  }

  /** True if the agent, or without an id any agent, is not healthy. */
  isUnhealthy(agentId: string | undefined, now: number): boolean {
    if (agentId !== undefined) {
      const upstream = this.upstreams.get(agentId);
      return !upstream || !isHealthy(upstream, now);
    }
    for (const upstream of this.list) {
      if (!isHealthy(upstream, now)) return true;
    }
    return false;
  }
}

/** Returns the unhealthy upstreams with the fewest requests in flight. */
function leastLoaded(
  unhealthy: readonly UpstreamState[],
  count: number,
): UpstreamState[] {
  if (count <= 0) return [];
  const sorted = [...unhealthy].sort(
    (left, right) => left.ownInFlight - right.ownInFlight,
  );
  return sorted.slice(0, count);
}

function isHealthy(upstream: UpstreamState, now: number): boolean {
  return upstream.isOpen && upstream.healthAt(now) === HealthState.HEALTHY;
}

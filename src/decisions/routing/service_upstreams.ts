import {QuantileTracker} from '../retries/quantile_tracker.js';
import {RetryBudget} from '../retries/retry_budget.js';
import type {Random} from '../../utilities/random.js';
import {HealthState} from './upstream_health.js';
import type {UpstreamState} from './upstream_state.js';

const HEDGE_QUANTILE = 0.95;
/** All upstreams are new to an entry at first; later ones start slowly. */
const ALL_NEW_MILLIS = 3000;

/** The upstreams of one service that may take a request now. */
export interface Candidates {
  /** To be compared by the policy. */
  readonly usable: UpstreamState[];
  /** Was out, and gets this request to see whether it is well again. */
  readonly probe: UpstreamState | undefined;
}

/** All that an entry knows of one service. */
export class ServiceUpstreams {
  readonly upstreams = new Map<string, UpstreamState>();
  readonly retryBudget: RetryBudget;
  readonly answerTimes = new QuantileTracker(HEDGE_QUANTILE);

  constructor(
    retryBudgetShare: number,
    private readonly knownSince: number,
  ) {
    this.retryBudget = new RetryBudget(retryBudgetShare);
  }

  /**
   * Sorts out who may take a request. At most the share of the open upstreams
   * is left out for their health; of more, the least unwell are compared too.
   */
  candidates(
    excluded: ReadonlySet<string> | undefined,
    maximumEjectedShare: number,
    random: Random,
    now: number,
  ): Candidates {
    const healthy: UpstreamState[] = [];
    const starting: UpstreamState[] = [];
    const unwell: UpstreamState[] = [];
    let open = 0;
    let probe: UpstreamState | undefined;
    for (const upstream of this.upstreams.values()) {
      if (!upstream.isOpen) continue;
      open++;
      const state = upstream.healthAt(now);
      if (excluded?.has(upstream.agentId)) continue;
      if (state === HealthState.HEALTHY) {
        const share = upstream.health.slowStartShare(now);
        const takesPart = share >= 1 || random.unit() < share;
        (takesPart ? healthy : starting).push(upstream);
        continue;
      }
      unwell.push(upstream);
      if (state !== HealthState.PROBING) continue;
      if (upstream.health.mayProbe(now)) probe = upstream;
    }
    const mostLeftOut = Math.floor(open * maximumEjectedShare);
    healthy.push(...leastUnwell(unwell, unwell.length - mostLeftOut));
    if (healthy.length > 0) return {usable: healthy, probe};
    return {usable: starting.length > 0 ? starting : unwell, probe};
  }

  add(upstream: UpstreamState, now: number): void {
    const isNew = now - this.knownSince > ALL_NEW_MILLIS;
    if (isNew) upstream.health.returned(now);
    this.upstreams.set(upstream.agentId, upstream);
  }

  /** Whether some upstream that is well should have a free slot. */
  hasSpareSlot(now: number): boolean {
    for (const upstream of this.upstreams.values()) {
      if (!isWell(upstream, now)) continue;
      if (upstream.estimatedLoad < upstream.slots) return true;
    }
    return false;
  }

  hasWellUpstream(now: number): boolean {
    for (const upstream of this.upstreams.values()) {
      if (isWell(upstream, now)) return true;
    }
    return false;
  }

  /** Whether the agent's answers are in doubt; without an id, of any agent. */
  isInDoubt(agentId: string | undefined, now: number): boolean {
    if (agentId !== undefined) {
      const upstream = this.upstreams.get(agentId);
      return !upstream || !isWell(upstream, now);
    }
    for (const upstream of this.upstreams.values()) {
      if (!isWell(upstream, now)) return true;
    }
    return false;
  }
}

/** Those of the unwell with the fewest open requests. */
function leastUnwell(
  unwell: readonly UpstreamState[],
  count: number,
): UpstreamState[] {
  if (count <= 0) return [];
  const sorted = [...unwell].sort(
    (left, right) => left.ownInFlight - right.ownInFlight,
  );
  return sorted.slice(0, count);
}

function isWell(upstream: UpstreamState, now: number): boolean {
  return upstream.isOpen && upstream.healthAt(now) === HealthState.HEALTHY;
}

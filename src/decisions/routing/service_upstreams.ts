import {QuantileTracker} from '../retries/quantile_tracker.js';
import {RetryBudget} from '../retries/retry_budget.js';
import type {Random} from '../../utilities/random.js';
import {HealthState} from './upstream_health.js';
import type {UpstreamState} from './upstream_state.js';

/** Up to this many upstreams are all looked at; of more, a sample. */
const MOST_COMPARED = 32;
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
  private readonly upstreams = new Map<string, UpstreamState>();
  /** The same, to draw from. */
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
    for (const upstream of this.compared(random)) {
      if (!upstream.isOpen) continue;
      open++;
      const state = upstream.healthAt(now);
      if (excluded?.has(upstream.agentId)) continue;
      upstream.refresh(now);
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
    this.list = [...this.upstreams.values()];
  }

  /** False when the agent is not known. */
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

  /** Whether some upstream that is well should have a free slot. */
  hasSpareSlot(now: number): boolean {
    for (const upstream of this.list) {
      if (!isWell(upstream, now)) continue;
      if (upstream.estimatedLoad < upstream.slots) return true;
    }
    return false;
  }

  /** All upstreams while there are few, otherwise some drawn at random. */
  private compared(random: Random): readonly UpstreamState[] {
    if (this.list.length <= MOST_COMPARED) return this.list;
    const drawn = new Set<UpstreamState>();
    for (let draw = 0; draw < MOST_COMPARED; draw++) {
      drawn.add(this.list[random.below(this.list.length)]);
    }
    return [...drawn];
  }

  hasWellUpstream(now: number): boolean {
    for (const upstream of this.list) {
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
    for (const upstream of this.list) {
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

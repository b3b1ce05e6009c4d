import type {Random} from '../../utilities/random.js';

/** What an entry believes of an upstream that may be chosen. */
export interface UpstreamView {
  readonly agentId: string;
  /** Whether it is in the entry's own failure domain. */
  readonly isLocal: boolean;
  /** Whether its failure domain or rack should rather not be used. */
  readonly isAvoided: boolean;
  readonly slots: number;
  /** Requests of this entry that have no answer yet. */
  readonly ownInFlight: number;
  /** Running and queued requests of all entries, by estimate. */
  readonly estimatedLoad: number;
  /** Smoothed time that a request holds a slot; 0 while unknown. */
  readonly serviceMillis: number;
}

/** Picks one of the upstreams that may take a request. */
export interface RoutingPolicy {
  readonly name: string;
  /** The candidates are never empty. */
  choose(
    candidates: readonly UpstreamView[],
    random: Random,
    now: number,
  ): UpstreamView;
}

/** Expected time in the upstream's queue, in milliseconds. */
export function expectedWaitMillis(upstream: UpstreamView): number {
  const ahead = upstream.estimatedLoad - upstream.slots + 1;
  if (ahead <= 0) return 0;
  return (ahead * upstream.serviceMillis) / Math.max(1, upstream.slots);
}

import type {Random} from '../../utilities/random.js';

/** An entry's estimate of the state of an upstream that may be chosen. */
export interface UpstreamView {
  readonly agentId: string;
  /** True if it is in the entry's own failure domain. */
  readonly isLocal: boolean;
  /** True if its failure domain is used only when others are worse. */
  readonly isAvoided: boolean;
  readonly slots: number;
  /** Requests of this entry without a response yet. */
  readonly ownInFlight: number;
  /** Estimated running and queued requests of all entries. */
  readonly estimatedLoad: number;
  /** Smoothed time that a request holds a slot; 0 while unknown. */
  readonly serviceMillis: number;
}

/** Picks one of the upstreams that may receive a request. */
export interface RoutingPolicy {
  readonly name: string;
  /** The candidates are never empty. */
  choose(
    candidates: readonly UpstreamView[],
    random: Random,
    now: number,
  ): UpstreamView;
}

/** Returns the expected time in the upstream's queue, in milliseconds. */
export function expectedWaitMillis(upstream: UpstreamView): number {
  const ahead = upstream.estimatedLoad - upstream.slots + 1;
  if (ahead <= 0) return 0;
  return (ahead * upstream.serviceMillis) / Math.max(1, upstream.slots);
}

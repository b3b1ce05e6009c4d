/** State of one executor as its agent reports it, on answers and heartbeats. */
export interface UpstreamReport {
  readonly agentId: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly inFlight: number;
  readonly queued: number;
  /** Smoothed time that a request holds a slot; 0 while unknown. */
  readonly serviceMillis: number;
  /** 99th percentile of answer times; 0 while unknown. */
  readonly tailMillis: number;
  /** A graceful shutdown has begun: takes no new requests. */
  readonly draining: boolean;
  /** The agent can't reach its executor. */
  readonly unavailable: boolean;
}

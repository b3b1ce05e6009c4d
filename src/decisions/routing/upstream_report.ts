/** An agent's report on one executor, sent with responses and heartbeats. */
export interface UpstreamReport {
  readonly agentId: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly inFlight: number;
  readonly queued: number;
  /** Smoothed time that a request holds a slot; 0 while unknown. */
  readonly serviceMillis: number;
  /** 99th percentile of response times; 0 while unknown. */
  readonly tailMillis: number;
  /** True if a graceful shutdown has begun: takes no new requests. */
  readonly draining: boolean;
  /** True if the agent can't reach its executor. */
  readonly unavailable: boolean;
}

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;

/** Limits of one HTTP listener. */
export interface ListenerLimits {
  /** Open connections; the one that is idle for longest makes way. */
  readonly connections: number;
  /** Calls of a connection that run or whose response was not sent yet. */
  readonly callsPerConnection: number;
  /** Bytes of the heads of all such calls, with CALL_OVERHEAD_BYTES each. */
  readonly callBytes: number;
  /** Bytes of the bodies that are being received or processed. */
  readonly bodyBytes: number;
  /** A client that takes no byte of its responses for so long is disconnected. */
  readonly unsentMillis: number;
}

/** Memory of a call besides its head and body. */
export const CALL_OVERHEAD_BYTES = KIBIBYTE;

export const DEFAULT_LISTENER_LIMITS: ListenerLimits = {
  connections: 1_024,
  callsPerConnection: 8,
  callBytes: MEBIBYTE,
  bodyBytes: 16 * MEBIBYTE,
  unsentMillis: 30_000,
};

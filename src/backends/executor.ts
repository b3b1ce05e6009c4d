/** The interface of a service's executor on a VM, as its agent uses it. */

export interface ExecutorRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
  readonly body: Uint8Array;
  readonly deadlineMillis: number;
  /**
   * Wall-clock time of the VM, in milliseconds since 1970, after which the
   * executor must not start the request: the agent may be suspended between its
   * last check and the send.
   */
  readonly startByMillis: number;
}

export interface ExecutorResponse {
  readonly status: number;
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
  readonly body: Uint8Array;
}

/** What is known about a request without a complete response. */
export const ExecutorFailure = {
  /**
   * The request did not run: no byte was sent, or the executor received it
   * after its start-by time.
   */
  NOT_SENT: 'notSent',
  /** The request may have run. */
  UNKNOWN: 'unknown',
} as const;
export type ExecutorFailure =
  (typeof ExecutorFailure)[keyof typeof ExecutorFailure];

/** Calls reject with an ExecutorError that carries an ExecutorFailure. */
export interface Executor {
  /** Resolves to a complete response that carries the id of the request. */
  send(request: ExecutorRequest): Promise<ExecutorResponse>;
  /** Rejects if the executor doesn't respond to a health check in time. */
  probe(): Promise<void>;
  close(reason: string): void;
}

/** The platform's executor of a service on a VM, as its agent sees it. */

export interface ExecutorRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
  readonly body: Uint8Array;
  readonly deadlineMillis: number;
  /**
   * Calendar time of the VM, in milliseconds since 1970, after which the
   * executor must not begin: an agent may be suspended between its last check
   * and the send.
   */
  readonly startByMillis: number;
}

export interface ExecutorAnswer {
  readonly status: number;
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
  readonly body: Uint8Array;
}

/** What is known of a request that brought no whole answer. */
export const ExecutorFailure = {
  /** No byte left, or the executor got it too late: it did not run. */
  NOT_SENT: 'notSent',
  /** It may have run. */
  UNKNOWN: 'unknown',
} as const;
export type ExecutorFailure =
  (typeof ExecutorFailure)[keyof typeof ExecutorFailure];

/** Rejects with an ExecutorError that carries an ExecutorFailure. */
export interface Executor {
  /** Resolves to a complete answer that carries the request's own id. */
  send(request: ExecutorRequest): Promise<ExecutorAnswer>;
  /** Rejects when the executor doesn't answer a probe in time. */
  probe(): Promise<void>;
  close(reason: string): void;
}

import {randomUUID} from 'node:crypto';

/** A caller's service request with validated headers. */
export interface CallerRequest {
  readonly requestId: string;
  readonly service: string;
  readonly team: string;
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
  readonly body: Uint8Array;
  readonly deadlineMillis: number;
  readonly idempotent: boolean;
}

/** Returns an id for a request that was sent without one. */
export function newRequestId(): string {
  return randomUUID();
}

import {randomUUID} from 'node:crypto';

/** A caller's request, its headers read and checked. */
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

/** An id for a request that came without one. */
export function newRequestId(): string {
  return randomUUID();
}

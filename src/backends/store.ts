/** The features of the platform's key-value store that the system uses. */

export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** The store's revision of the write of this value. */
  readonly revision: number;
}

export interface StoreList {
  /** Ascending by key. */
  readonly values: readonly StoredValue[];
  /** The store's revision at which the list was read. */
  readonly revision: number;
  /** True if more keys follow the last one. */
  readonly more: boolean;
}

export interface SwapResult {
  readonly succeeded: boolean;
  /** The store's revision after the call. */
  readonly revision: number;
  /** The value found at the key if the swap did not succeed. */
  readonly current?: StoredValue;
}

export interface StoreLease {
  readonly id: string;
  readonly ttlMillis: number;
}

export interface StoreChange {
  readonly key: string;
  /** Undefined when the key was deleted. */
  readonly value?: string;
  readonly revision: number;
}

export interface StoreWatcher {
  /** Called with changes in order of their revisions. */
  onChanges(changes: readonly StoreChange[], revision: number): void;
  /** Called when the watch ends; the watcher must list and watch again. */
  onEnd(reason: string): void;
}

export interface StoreWatch {
  close(reason: string): void;
}

/** The expected revision of a key that must not exist yet. */
export const ABSENT_REVISION = 0;

/**
 * Calls reject with a StoreUnavailableError if the store did not respond or
 * returned an error; a write may have taken effect nevertheless.
 */
export interface Store {
  get(key: string): Promise<StoredValue | undefined>;
  list(
    prefix: string,
    options?: {afterKey?: string; limit?: number},
  ): Promise<StoreList>;
  /** Resolves to the most recently written value under the prefix, if any. */
  newest(prefix: string): Promise<StoredValue | undefined>;
  /** Writes the value if the key has the expected revision. */
  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: string,
    options?: {leaseId?: string},
  ): Promise<SwapResult>;
  /** Deletes the key if it has the expected revision. */
  compareAndDelete(key: string, expectedRevision: number): Promise<SwapResult>;
  /** Deletes all keys from `firstKey` (inclusive) to `endKey` (exclusive). */
  deleteRange(firstKey: string, endKey: string): Promise<void>;
  grantLease(ttlMillis: number): Promise<StoreLease>;
  /** Resolves to the time left in milliseconds; 0 if the lease has expired. */
  keepLeaseAlive(leaseId: string): Promise<number>;
  revokeLease(leaseId: string): Promise<void>;
  watch(
    prefix: string,
    fromRevision: number,
    watcher: StoreWatcher,
  ): StoreWatch;
  close(reason: string): void;
}

/** The platform's key-value service, as far as the system relies on it. */

export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** The store's revision of the write that left this value. */
  readonly revision: number;
}

export interface StoreList {
  /** Ascending by key. */
  readonly values: readonly StoredValue[];
  /** The store's revision at which the list was true. */
  readonly revision: number;
  /** More keys follow the last one. */
  readonly more: boolean;
}

export interface SwapResult {
  readonly succeeded: boolean;
  /** The store's revision after the call. */
  readonly revision: number;
  /** What stands at the key when the swap did not succeed. */
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
  /** Changes in the order of their revisions. */
  onChanges(changes: readonly StoreChange[], revision: number): void;
  /** The watch has ended and brings nothing more; list and watch again. */
  onEnd(reason: string): void;
}

export interface StoreWatch {
  close(reason: string): void;
}

/** The revision to expect of a key that must not exist yet. */
export const ABSENT_REVISION = 0;

/**
 * Calls reject with a StoreUnavailableError when the store answered nothing or
 * an error; a write may then have taken effect all the same.
 */
export interface Store {
  get(key: string): Promise<StoredValue | undefined>;
  list(
    prefix: string,
    options?: {afterKey?: string; limit?: number},
  ): Promise<StoreList>;
  /** The value under the prefix that was written last, if there is any. */
  newest(prefix: string): Promise<StoredValue | undefined>;
  /** Writes if the key's revision is the expected one. */
  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: string,
    options?: {leaseId?: string},
  ): Promise<SwapResult>;
  /** Deletes if the key's revision is the expected one. */
  compareAndDelete(key: string, expectedRevision: number): Promise<SwapResult>;
  /** Deletes all keys from the first (included) to the last (excluded). */
  deleteRange(firstKey: string, endKey: string): Promise<void>;
  grantLease(ttlMillis: number): Promise<StoreLease>;
  /** Resolves to the time left in milliseconds; 0 when the lease has lapsed. */
  keepLeaseAlive(leaseId: string): Promise<number>;
  revokeLease(leaseId: string): Promise<void>;
  watch(
    prefix: string,
    fromRevision: number,
    watcher: StoreWatcher,
  ): StoreWatch;
  close(reason: string): void;
}

/** A key-value store whose writes are transactions over several keys. */
import type {StoredValue, StoreLease} from './store.js';

/** A key that must stand at a revision; 0 means that it must not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}

export interface StorePut {
  readonly key: string;
  readonly value: string;
  readonly leaseId?: string;
}

/** Takes effect whole or not at all. */
export interface StoreTransaction {
  readonly conditions: readonly StoreCondition[];
  readonly puts: readonly StorePut[];
  readonly removals?: readonly string[];
}

/** What became of a transaction that was answered. */
export interface TransactionResult {
  readonly succeeded: boolean;
  /** The revision of the write; of no meaning when it did not succeed. */
  readonly revision: number;
  /** The present values of the keys of the conditions that did not hold. */
  readonly current: readonly StoredValue[];
}

/** All keys below a prefix. */
export interface StoreListing {
  readonly values: readonly StoredValue[];
  /** A revision at or before which all of the values stood. */
  readonly revision: number;
}

/** What changed below a prefix. */
export interface StoreChanges {
  readonly changes: ReadonlyArray<{
    readonly key: string;
    /** Undefined when the key is gone. */
    readonly value?: string;
    readonly revision: number;
  }>;
  /** Where the next look begins. */
  readonly revision: number;
}

/** The lease of a write has ended; nothing was written. */
export const LEASE_GONE_REASON = 'the lease has ended';

/**
 * Calls reject with a StoreUnavailableError when no answer came: a write may
 * then take effect seconds later if its conditions still hold. They reject
 * with a StoreRefusedError when the store said that nothing was done.
 */
export interface TransactionalStore {
  get(key: string): Promise<StoredValue | undefined>;
  list(prefix: string): Promise<StoreListing>;
  /**
   * Resolves as soon as there is a change after the revision, or with none
   * when the wait is over. Resolves to undefined when that history is gone.
   */
  changesAfter(
    prefix: string,
    revision: number,
    waitMillis: number,
  ): Promise<StoreChanges | undefined>;
  transact(transaction: StoreTransaction): Promise<TransactionResult>;
  grantLease(ttlMillis: number): Promise<StoreLease>;
  /** Resolves to whether the lease still holds. */
  keepLeaseAlive(leaseId: string): Promise<boolean>;
  revokeLease(leaseId: string): Promise<void>;
  close(reason: string): void;
}

import type {
  StoreChange,
  StoredValue,
  SwapResult,
} from '../../src/backends/store.js';
import type {Clock, Timer} from '../../src/utilities/clock.js';

interface Row {
  value: string;
  revision: number;
  leaseId?: string;
}

interface Lease {
  readonly ttlMillis: number;
  readonly keys: Set<string>;
  expiry: Timer;
}

/** One change of the table, as recorded in the journal. */
export type TableEntry =
  | {
      readonly type: 'put';
      readonly key: string;
      readonly value: string;
      readonly revision: number;
      readonly leaseId?: string;
    }
  | {
      readonly type: 'remove';
      readonly keys: readonly string[];
      readonly revision: number;
    }
  | {readonly type: 'grant'; readonly id: string; readonly ttlMillis: number}
  | {readonly type: 'end'; readonly id: string};

export interface StoreTableOptions {
  /** Journal entries of an earlier table, to restore. */
  readonly entries?: readonly TableEntry[];
  readonly journal?: (entry: TableEntry) => void;
}

export interface TableWatcher {
  readonly prefix: string;
  notify(changes: readonly StoreChange[], revision: number): void;
}

/** Keys, leases and change history of a store, without transport or faults. */
export class StoreTable {
  revision = 1;
  compactedRevision = 0;
  private readonly rows = new Map<string, Row>();
  private readonly leases = new Map<string, Lease>();
  private readonly watchers = new Set<TableWatcher>();
  private changes: StoreChange[] = [];
  private leasesGranted = 0;

  constructor(
    private readonly clock: Clock,
    private readonly options: StoreTableOptions = {},
  ) {
    const entries = options.entries ?? [];
    for (const entry of entries) this.restore(entry);
    if (entries.length > 0) this.compact();
  }

  get(key: string): StoredValue | undefined {
    const row = this.rows.get(key);
    return row && {key, value: row.value, revision: row.revision};
  }

  /** Returns the values from `firstKey` (inclusive) to `endKey` (exclusive). */
  range(firstKey: string, endKey: string | undefined): StoredValue[] {
    const keys = [...this.rows.keys()].filter(
      key => key >= firstKey && (endKey === undefined || key < endKey),
    );
    keys.sort(compareText);
    return keys.map(key => this.get(key)!);
  }

  swap(
    key: string,
    expectedRevision: number,
    value: string,
    leaseId?: string,
  ): SwapResult {
    const refusal = this.checkRevision(key, expectedRevision);
    if (refusal) return refusal;
    const lease = leaseId === undefined ? undefined : this.leases.get(leaseId);
    if (leaseId !== undefined && !lease) {
      throw new Error('etcdserver: requested lease not found');
    }
    this.revision++;
    const {revision} = this;
    this.put(key, {value, revision, leaseId});
    this.options.journal?.({type: 'put', key, value, revision, leaseId});
    this.publish([{key, value, revision}]);
    return {succeeded: true, revision};
  }

  remove(key: string, expectedRevision: number): SwapResult {
    const refusal = this.checkRevision(key, expectedRevision);
    if (refusal) return refusal;
    this.removeKeys([key]);
    return {succeeded: true, revision: this.revision};
  }

  removeRange(firstKey: string, endKey: string | undefined): number {
    const values = this.range(firstKey, endKey);
    this.removeKeys(values.map(value => value.key));
    return values.length;
  }

  grantLease(ttlMillis: number): string {
    const id = String(7_587_000_000_000_000 + ++this.leasesGranted);
    this.openLease(id, ttlMillis);
    this.options.journal?.({type: 'grant', id, ttlMillis});
    return id;
  }

  /** Renews the lease and returns its time to live; 0 if it has expired. */
  keepLeaseAlive(id: string): number {
    const lease = this.leases.get(id);
    if (!lease) return 0;
    lease.expiry.cancel();
    lease.expiry = this.scheduleExpiry(id, lease.ttlMillis);
    return lease.ttlMillis;
  }

  revokeLease(id: string): boolean {
    const lease = this.leases.get(id);
    if (!lease) return false;
    lease.expiry.cancel();
    this.leases.delete(id);
    this.removeKeys([...lease.keys]);
    this.options.journal?.({type: 'end', id});
    return true;
  }

  expireAllLeases(): void {
    for (const id of [...this.leases.keys()]) this.revokeLease(id);
  }

  /** Drops the change history; older watches can no longer be resumed. */
  compact(): void {
    this.compactedRevision = this.revision;
    this.changes = [];
  }

  changesSince(prefix: string, fromRevision: number): StoreChange[] {
    return this.changes.filter(
      change =>
        change.revision >= fromRevision && change.key.startsWith(prefix),
    );
  }

  addWatcher(watcher: TableWatcher): void {
    this.watchers.add(watcher);
  }

  removeWatcher(watcher: TableWatcher): void {
    this.watchers.delete(watcher);
  }

  /** Cancels all timers and removes the watchers. */
  dispose(): void {
    for (const lease of this.leases.values()) lease.expiry.cancel();
    this.watchers.clear();
  }

  private checkRevision(key: string, expected: number): SwapResult | undefined {
    const current = this.get(key);
    if ((current?.revision ?? 0) === expected) return undefined;
    return {succeeded: false, revision: this.revision, current};
  }

  private removeKeys(keys: readonly string[]): void {
    const present = keys.filter(key => this.rows.has(key));
    if (present.length === 0) return;
    this.revision++;
    const {revision} = this;
    this.deleteRows(present);
    this.options.journal?.({type: 'remove', keys: present, revision});
    this.publish(present.map(key => ({key, revision})));
  }

  private put(key: string, row: Row): void {
    this.detachFromLease(key);
    this.rows.set(key, row);
    if (row.leaseId !== undefined) this.leases.get(row.leaseId)?.keys.add(key);
  }

  private deleteRows(keys: readonly string[]): void {
    for (const key of keys) {
      this.detachFromLease(key);
      this.rows.delete(key);
    }
  }

  private openLease(id: string, ttlMillis: number): void {
    const expiry = this.scheduleExpiry(id, ttlMillis);
    this.leases.set(id, {ttlMillis, keys: new Set(), expiry});
  }

  private closeLease(id: string): void {
    this.leases.get(id)?.expiry.cancel();
    this.leases.delete(id);
  }

  /** Applies an entry. Leases get their full time, as after a leader change. */
  private restore(entry: TableEntry): void {
    if (entry.type === 'grant') {
      this.leasesGranted++;
      return this.openLease(entry.id, entry.ttlMillis);
    }
    if (entry.type === 'end') return this.closeLease(entry.id);
    this.revision = entry.revision;
    if (entry.type === 'remove') return this.deleteRows(entry.keys);
    const {key, value, revision, leaseId} = entry;
    this.put(key, {value, revision, leaseId});
  }

  private detachFromLease(key: string): void {
    const leaseId = this.rows.get(key)?.leaseId;
    if (leaseId !== undefined) this.leases.get(leaseId)?.keys.delete(key);
  }

  private publish(changes: readonly StoreChange[]): void {
    this.changes.push(...changes);
    for (const watcher of [...this.watchers]) {
      const seen = changes.filter(change =>
        change.key.startsWith(watcher.prefix),
      );
      if (seen.length > 0) watcher.notify(seen, this.revision);
    }
  }

  private scheduleExpiry(id: string, ttlMillis: number): Timer {
    return this.clock.schedule(ttlMillis, () => this.revokeLease(id));
  }
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

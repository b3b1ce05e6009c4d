import type {Store} from '../../backends/store.js';

const ENTRIES_PREFIX = 'entries/';

/** One entry as it registers itself. */
export interface EntryRecord {
  readonly entryId: string;
  /** Address for other processes, HOST:PORT. */
  readonly processAddress: string;
  /** Address for callers and operators, HOST:PORT. */
  readonly callerAddress: string;
  readonly failureDomain: string;
  /** Random, drawn at start: differs between process runs with the same id. */
  readonly nonce: string;
  /** True if the entry is shutting down and takes no new shards. */
  readonly stopping: boolean;
}

/** The registered entries, as last read from the store. */
export class EntryRegistry {
  private readonly entries = new Map<string, EntryRecord>();

  constructor(private readonly store: Store) {}

  /** Returns the entry with this id, if it was registered at the last read. */
  find(entryId: string): EntryRecord | undefined {
    return this.entries.get(entryId);
  }

  /** Returns all entries, including this one and those that are stopping. */
  all(): readonly EntryRecord[] {
    return [...this.entries.values()];
  }

  /** Registers this entry under the lease, replacing an earlier record. */
  async register(record: EntryRecord, leaseId: string): Promise<void> {
    const key = ENTRIES_PREFIX + record.entryId;
    const value = JSON.stringify(record);
    const found = await this.store.get(key);
    const result = await this.store.compareAndSwap(
      key,
      found?.revision ?? 0,
      value,
      {leaseId},
    );
    if (!result.succeeded) return;
    this.entries.set(record.entryId, record);
  }

  /** Reads the registered entries from the store again. */
  async refresh(): Promise<void> {
    const result = await this.store.list(ENTRIES_PREFIX);
    this.entries.clear();
    for (const {value} of result.values) {
      const record = JSON.parse(value) as EntryRecord;
      this.entries.set(record.entryId, record);
    }
  }
}

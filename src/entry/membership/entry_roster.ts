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
  /** Drawn at start: a later run under the same id is another record. */
  readonly nonce: string;
  /** Takes no new shards, for it is shutting down. */
  readonly stopping: boolean;
}

/** The entries that live, as the store last told. */
export class EntryRoster {
  private readonly entries = new Map<string, EntryRecord>();

  constructor(private readonly store: Store) {}

  /** The entry of this id, if it lived when the list was read. */
  find(entryId: string): EntryRecord | undefined {
    return this.entries.get(entryId);
  }

  /** All entries, this one and those that stop included. */
  all(): readonly EntryRecord[] {
    return [...this.entries.values()];
  }

  /** Registers this entry under the lease, in place of an earlier record. */
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

  /** Reads the list anew. */
  async refresh(): Promise<void> {
    const listed = await this.store.list(ENTRIES_PREFIX);
    this.entries.clear();
    for (const {value} of listed.values) {
      const record = JSON.parse(value) as EntryRecord;
      this.entries.set(record.entryId, record);
    }
  }
}

import type {EntryRecord, EntryRegistry} from './entry_registry.js';

/** How long an entry is kept after the last message from or about it. */
const EXPIRY_MILLIS = 10_000;

interface SeenEntry {
  readonly record: EntryRecord;
  readonly lastSeenAt: number;
}

/**
 * The registered entries, and those that can't register because the store is
 * unreachable. The latter are included only after a request or response of
 * theirs arrived here: if a mention by other entries were enough, the entries
 * would keep telling each other of a removed one forever. Only registered
 * entries are assigned shards.
 */
export class KnownEntries {
  private readonly senders = new Map<string, SeenEntry>();
  private readonly mentioned = new Map<string, SeenEntry>();

  constructor(
    private readonly own: EntryRecord,
    private readonly registry: EntryRegistry,
  ) {}

  /** Called when a request or response of an entry arrived. */
  recordSender(record: EntryRecord, now: number): void {
    if (record.entryId === this.own.entryId) return;
    this.senders.set(record.entryId, {record, lastSeenAt: now});
  }

  /** Called when another entry mentioned this one, which is contacted then. */
  recordMention(record: EntryRecord, now: number): void {
    if (record.entryId === this.own.entryId) return;
    this.mentioned.set(record.entryId, {record, lastSeenAt: now});
  }

  /**
   * Returns the entries to tell other processes of, including this one and
   * those that are stopping.
   */
  all(now: number): readonly EntryRecord[] {
    const entries = new Map([[this.own.entryId, this.own]]);
    for (const record of this.registry.all())
      entries.set(record.entryId, record);
    for (const record of pruneExpired(this.senders, now)) {
      entries.set(record.entryId, record);
    }
    return [...entries.values()];
  }

  /** Returns the other entries, including those that were only mentioned. */
  others(now: number): readonly EntryRecord[] {
    const entries = new Map<string, EntryRecord>();
    for (const record of pruneExpired(this.mentioned, now)) {
      entries.set(record.entryId, record);
    }
    for (const record of this.all(now)) entries.set(record.entryId, record);
    entries.delete(this.own.entryId);
    return [...entries.values()];
  }
}

function pruneExpired(
  entries: Map<string, SeenEntry>,
  now: number,
): readonly EntryRecord[] {
  const records: EntryRecord[] = [];
  for (const [entryId, {record, lastSeenAt}] of entries) {
    if (now - lastSeenAt <= EXPIRY_MILLIS) records.push(record);
    else entries.delete(entryId);
  }
  return records;
}

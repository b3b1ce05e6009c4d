import type {EntryRecord, EntryRoster} from './entry_roster.js';

/** An entry that neither asked nor answered for so long is left out. */
const FORGET_MILLIS = 10_000;

interface HeardEntry {
  readonly record: EntryRecord;
  readonly at: number;
}

/**
 * The entries that the roster lists, and those that can't register because the
 * store is away. The latter are listed only once they asked or answered here:
 * were it enough that others name them, entries that are gone would be named
 * in turn for ever. Shards are given to registered entries alone.
 */
export class KnownEntries {
  private readonly heard = new Map<string, HeardEntry>();
  private readonly named = new Map<string, HeardEntry>();

  constructor(
    private readonly own: EntryRecord,
    private readonly roster: EntryRoster,
  ) {}

  /** An entry asked or answered. */
  noteHeard(record: EntryRecord, now: number): void {
    if (record.entryId === this.own.entryId) return;
    this.heard.set(record.entryId, {record, at: now});
  }

  /** Another entry named one, which is to be asked. */
  noteNamed(record: EntryRecord, now: number): void {
    if (record.entryId === this.own.entryId) return;
    this.named.set(record.entryId, {record, at: now});
  }

  /** All entries to tell of, this one and those that stop included. */
  all(now: number): readonly EntryRecord[] {
    const entries = new Map([[this.own.entryId, this.own]]);
    for (const record of this.roster.all()) entries.set(record.entryId, record);
    for (const record of recent(this.heard, now)) {
      entries.set(record.entryId, record);
    }
    return [...entries.values()];
  }

  /** The other entries, also those that were only named. */
  others(now: number): readonly EntryRecord[] {
    const entries = new Map<string, EntryRecord>();
    for (const record of recent(this.named, now)) {
      entries.set(record.entryId, record);
    }
    for (const record of this.all(now)) entries.set(record.entryId, record);
    entries.delete(this.own.entryId);
    return [...entries.values()];
  }
}

function recent(
  entries: Map<string, HeardEntry>,
  now: number,
): readonly EntryRecord[] {
  const records: EntryRecord[] = [];
  for (const [entryId, {record, at}] of entries) {
    if (now - at <= FORGET_MILLIS) records.push(record);
    else entries.delete(entryId);
  }
  return records;
}

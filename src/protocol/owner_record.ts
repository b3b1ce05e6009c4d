/**
 * Value stored at the owner's key, written once when the pool is claimed. The
 * revision of that write is the owner's epoch.
 */
export interface OwnerRecord {
  readonly processName: string;
  /** HOST:PORT for calls between processes. */
  readonly address: string;
  /** Unique to each claim. */
  readonly nonce: string;
  /** Lease that the key is attached to. */
  readonly leaseId: string;
}

/** Value stored at the key of the owner's commits; each commit rewrites it. */
export interface CommitRecord {
  /** Nonce of the claim of the owner that wrote the record. */
  readonly nonce: string;
  /** Number of the owner's commits so far. */
  readonly sequence: number;
  /** Lease of the owner; absent from earlier versions. */
  readonly leaseId?: string;
  /** True if no earlier owner could act any more at the time of the commit. */
  readonly isSole?: boolean;
}

/** Address and capacity of an entry; no proof that the entry is alive. */
export interface EntryRecord {
  /** HOST:PORT for calls between processes. */
  readonly address: string;
  /** Fraction of an owner's load that its machine can carry, from 0 to 1. */
  readonly capacity: number;
}

/** Returns undefined if the text is not a valid record. */
export function decodeOwner(text: string): OwnerRecord | undefined {
  const record = parseRecord<OwnerRecord>(text);
  const isComplete =
    typeof record?.nonce === 'string' && isAddress(record.address);
  return isComplete ? (record as OwnerRecord) : undefined;
}

/** Returns undefined if the text is not a valid record. */
export function decodeCommit(text: string): CommitRecord | undefined {
  const record = parseRecord<CommitRecord>(text);
  const isComplete =
    typeof record?.nonce === 'string' && typeof record.sequence === 'number';
  return isComplete ? (record as CommitRecord) : undefined;
}

/** Returns undefined if the text is not a valid record. */
export function decodeEntry(text: string): EntryRecord | undefined {
  const record = parseRecord<EntryRecord>(text);
  const isComplete =
    isAddress(record?.address) && Number.isFinite(record?.capacity);
  return isComplete ? (record as EntryRecord) : undefined;
}

/** No connection can be opened to an empty address. */
function isAddress(address: unknown): boolean {
  return typeof address === 'string' && address !== '';
}

export function encodeRecord(
  record: OwnerRecord | CommitRecord | EntryRecord,
): string {
  return JSON.stringify(record);
}

function parseRecord<Record>(text: string): Partial<Record> | undefined {
  try {
    const parsed: unknown = JSON.parse(text);
    const isObject = typeof parsed === 'object' && parsed !== null;
    return isObject ? (parsed as Partial<Record>) : undefined;
  } catch {
    // Callers treat an unreadable record as one of another process.
    return undefined;
  }
}

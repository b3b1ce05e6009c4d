/** What stands at the owner's key. */
export interface OwnerRecord {
  readonly processName: string;
  /** HOST:PORT for calls between processes. */
  readonly address: string;
  /** Differs for each life of the process. */
  readonly nonce: string;
  /** The lease under which the key stands. */
  readonly leaseId: string;
  /** Grows with every change of the owner; undefined in its first write. */
  readonly epoch?: number;
  /** Counts the owner's commits. */
  readonly sequence: number;
}

export function encodeOwner(record: OwnerRecord): string {
  return JSON.stringify(record);
}

/** Undefined when the text is no such record. */
export function decodeOwner(text: string): OwnerRecord | undefined {
  try {
    const record = JSON.parse(text) as Partial<OwnerRecord>;
    const isWhole =
      typeof record.nonce === 'string' &&
      typeof record.address === 'string' &&
      typeof record.sequence === 'number';
    return isWhole ? (record as OwnerRecord) : undefined;
  } catch {
    // The caller treats a record that can't be read as another's.
    return undefined;
  }
}

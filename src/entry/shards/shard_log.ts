import {randomBytes} from 'node:crypto';
import {
  decodeRecords,
  encodeRecords,
} from '../../decisions/jobs/record_codec.js';
import type {EncodedRecords} from '../../decisions/jobs/record_codec.js';
import type {LogRecord} from '../../decisions/job_types.js';
import {ABSENT_REVISION} from '../../backends/store.js';
import type {Store, StoredValue} from '../../backends/store.js';
import {listAll} from '../../backends/list_all.js';
import {SettledOutcome} from '../../backends/settling_store.js';
import type {SettlingStore} from '../../backends/settling_store.js';
import {BaseError} from '../../utilities/base_error.js';
import {packText, unpackText} from './packed_text.js';
import {SnapshotFile} from './snapshot_file.js';
import type {Snapshot} from './snapshot_file.js';

/** Slots of the ring; a snapshot has to be taken before they are used up. */
const RING_SLOTS = 256;
const SNAPSHOT_AFTER_APPENDS = 128;
const SLOT_DIGITS = 4;
const LIST_LIMIT = 32;
const READ_TRIALS = 5;
/** Enough that no two writes ever have the same. */
const NONCE_BYTES = 12;

/** Another owner wrote to the log: this one owns the shard no more. */
export const DeposedError = BaseError.subclass('DeposedError');

/** Whether the last append took effect could not be found out in time. */
export const AppendUnknownError = BaseError.subclass('AppendUnknownError');

/** One group commit as it stands in the store. */
interface LogSlot {
  readonly sequence: number;
  readonly nonce: string;
  /** As an object, or as its packed JSON text. */
  readonly records: EncodedRecords | string;
}

/** The log was written to faster than it could be read. */
export const LogMovedError = BaseError.subclass('LogMovedError');

/** The records of one append, from the value that the store keeps. */
export function recordsOf(value: string): LogRecord[] {
  const {records} = JSON.parse(value) as LogSlot;
  return decodeRecords(unpackRecords(records));
}

/** What a new owner reads before it takes over. */
export interface LogReplay {
  /** The folded log up to the records; empty when there is none. */
  readonly snapshot: string;
  readonly records: readonly LogRecord[];
}

/**
 * The log of one shard in the store: a ring of slots. Appending sequence number
 * `s` is a compare-and-swap of slot `s mod RING_SLOTS` against the revision that
 * the writer knows of it. As slots are never deleted and revisions never come
 * back, an append of a deposed owner fails however late it arrives; deleting
 * a prefix of sequence keys would let it succeed.
 */
export class ShardLog {
  private readonly prefix: string;
  private readonly slotRevisions = new Map<number, number>();
  private readonly snapshotFile: SnapshotFile;
  private nextSequence = 1;
  private snapshotSequence = 0;

  constructor(
    readonly shard: number,
    private readonly store: Store,
    private readonly writer: SettlingStore,
  ) {
    this.prefix = `jobs/${shard}/log/`;
    this.snapshotFile = new SnapshotFile(shard, store, writer);
  }

  /** Sequence number of the next append. */
  get next(): number {
    return this.nextSequence;
  }

  /** Whether enough was appended since the last snapshot. */
  get snapshotIsDue(): boolean {
    const appended = this.nextSequence - 1 - this.snapshotSequence;
    return appended >= SNAPSHOT_AFTER_APPENDS;
  }

  /** The ring is full; nothing may be appended before a snapshot. */
  get isFull(): boolean {
    return this.nextSequence - this.snapshotSequence > RING_SLOTS;
  }

  /**
   * Reads the snapshot and the records after it.
   *
   * @throws LogMovedError when the log kept moving under the reader.
   */
  async read(): Promise<LogReplay> {
    for (let trial = 0; trial < READ_TRIALS; trial++) {
      const snapshot = await this.snapshotFile.read();
      const records = this.collect(snapshot, await this.readSlots());
      if (records) return {snapshot: snapshot.text, records};
    }
    throw new LogMovedError(
      `Log of shard ${this.shard} moved during ${READ_TRIALS} reads.`,
    );
  }

  /** The records in order; undefined when slots miss that others follow. */
  private collect(
    snapshot: Snapshot,
    slots: readonly LogSlot[],
  ): LogRecord[] | undefined {
    this.snapshotSequence = snapshot.sequence;
    this.nextSequence = snapshot.sequence + 1;
    const records: LogRecord[] = [];
    for (const slot of slots) {
      if (slot.sequence < this.nextSequence) continue;
      if (slot.sequence > this.nextSequence) return undefined;
      for (const record of decodeRecords(unpackRecords(slot.records))) {
        records.push(record);
      }
      this.nextSequence++;
    }
    return records;
  }

  /**
   * Appends one group commit.
   *
   * @throws DeposedError when another owner has appended at this number.
   * @throws AppendUnknownError when the store gave no answer by the deadline.
   */
  async append(
    records: readonly LogRecord[],
    deadlineMillis: number,
  ): Promise<void> {
    const sequence = this.nextSequence;
    const slot: LogSlot = {
      sequence,
      nonce: randomBytes(NONCE_BYTES).toString('base64url'),
      records: packRecords(encodeRecords(records)),
    };
    const index = sequence % RING_SLOTS;
    const result = await this.writer.swap(
      this.slotKey(index),
      this.slotRevisions.get(index) ?? ABSENT_REVISION,
      JSON.stringify(slot),
      {deadlineMillis},
    );
    if (result.outcome === SettledOutcome.CONFLICT) {
      throw new DeposedError(
        `Shard ${this.shard} has another record at sequence ${sequence}.`,
      );
    }
    if (result.outcome !== SettledOutcome.WRITTEN) {
      throw new AppendUnknownError(
        `Append ${sequence} to shard ${this.shard}: ${result.reason}`,
      );
    }
    this.slotRevisions.set(index, result.revision);
    this.nextSequence++;
  }

  /** Keeps the state that holds all appended records. */
  async saveSnapshot(text: string): Promise<void> {
    const sequence = this.nextSequence - 1;
    await this.snapshotFile.write(sequence, text);
    this.snapshotSequence = sequence;
  }

  private async readSlots(): Promise<LogSlot[]> {
    const listing = await listAll(this.store, this.prefix, LIST_LIMIT);
    const slots = listing.values.map(stored => this.readSlot(stored));
    return slots.sort((left, right) => left.sequence - right.sequence);
  }

  private readSlot(stored: StoredValue): LogSlot {
    const index = Number(stored.key.slice(this.prefix.length));
    this.slotRevisions.set(index, stored.revision);
    return JSON.parse(stored.value) as LogSlot;
  }

  private slotKey(index: number): string {
    return this.prefix + String(index).padStart(SLOT_DIGITS, '0');
  }
}

function packRecords(records: EncodedRecords): EncodedRecords | string {
  const text = JSON.stringify(records);
  const packed = packText(text);
  return packed === text ? records : packed;
}

function unpackRecords(records: EncodedRecords | string): EncodedRecords {
  if (typeof records !== 'string') return records;
  return JSON.parse(unpackText(records)) as EncodedRecords;
}

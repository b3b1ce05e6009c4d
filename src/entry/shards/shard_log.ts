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
import {WriteOutcome} from '../../backends/confirming_store.js';
import type {ConfirmingStore} from '../../backends/confirming_store.js';
import {BaseError} from '../../utilities/base_error.js';
import {packText, unpackText} from './packed_text.js';
import {SnapshotStorage} from './snapshot_storage.js';
import type {Snapshot} from './snapshot_storage.js';

/** Slots of the ring buffer; none may be overwritten before a snapshot. */
const RING_SLOTS = 256;
const SNAPSHOT_AFTER_APPENDS = 128;
const SLOT_DIGITS = 4;
const SLOTS_PER_PAGE = 32;
const MAXIMUM_READS = 5;
/** Enough that no two writes share a nonce. */
const NONCE_BYTES = 12;

/** Another owner wrote to the log, so this one no longer owns the shard. */
export const DeposedError = BaseError.subclass('DeposedError');

/** An append was not confirmed by its deadline; it may have taken effect. */
export const AppendUnknownError = BaseError.subclass('AppendUnknownError');

/** One group commit as it is stored. */
interface LogSlot {
  readonly sequence: number;
  readonly nonce: string;
  /** As an object, or as its packed JSON text. */
  readonly records: EncodedRecords | string;
}

/** The log was appended to faster than it could be read. */
export const LogMovedError = BaseError.subclass('LogMovedError');

/** Returns the records of one append, given its stored value. */
export function recordsOf(value: string): LogRecord[] {
  const {records} = JSON.parse(value) as LogSlot;
  return decodeRecords(unpackRecords(records));
}

/** The state that a new owner reads before it takes over a shard. */
export interface LogReplay {
  /** The state before the records; empty if there is no snapshot. */
  readonly snapshot: string;
  readonly records: readonly LogRecord[];
}

/**
 * The log of one shard in the store: a ring buffer of slots. Appending sequence
 * number `s` is a compare-and-swap of slot `s mod RING_SLOTS` against the last
 * revision of the slot that the writer knows. Slots are never deleted and
 * revisions never repeat, so an append by a former owner fails however late it
 * arrives. With one key per sequence number, deleting old keys would let it
 * succeed.
 */
export class ShardLog {
  private readonly prefix: string;
  private readonly slotRevisions = new Map<number, number>();
  private readonly snapshotStorage: SnapshotStorage;
  private nextSequence = 1;
  private snapshotSequence = 0;

  constructor(
    readonly shard: number,
    private readonly store: Store,
    private readonly writer: ConfirmingStore,
  ) {
    this.prefix = `jobs/${shard}/log/`;
    this.snapshotStorage = new SnapshotStorage(shard, store, writer);
  }

  /** Sequence number of the next append. */
  get nextAppendSequence(): number {
    return this.nextSequence;
  }

  /** True if enough was appended since the last snapshot. */
  get isSnapshotDue(): boolean {
    const appended = this.nextSequence - 1 - this.snapshotSequence;
    return appended >= SNAPSHOT_AFTER_APPENDS;
  }

  /** True if the ring is full: a snapshot must precede the next append. */
  get isFull(): boolean {
    return this.nextSequence - this.snapshotSequence > RING_SLOTS;
  }

  /**
   * Reads the snapshot and the records after it.
   *
   * @throws LogMovedError when the log changed during every read.
   */
  async read(): Promise<LogReplay> {
    for (let reads = 0; reads < MAXIMUM_READS; reads++) {
      const snapshot = await this.snapshotStorage.read();
      const records = this.collect(snapshot, await this.readSlots());
      if (records) return {snapshot: snapshot.text, records};
    }
    throw new LogMovedError(
      `Log of shard ${this.shard} changed during ${MAXIMUM_READS} reads.`,
    );
  }

  /** Returns the records in order; undefined if one in between is missing. */
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
   * @throws DeposedError when another owner has used this sequence number.
   * @throws AppendUnknownError when it was not confirmed by the deadline.
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
    if (result.outcome === WriteOutcome.CONFLICT) {
      throw new DeposedError(
        `Shard ${this.shard} has another record at sequence ${sequence}.`,
      );
    }
    if (result.outcome !== WriteOutcome.WRITTEN) {
      throw new AppendUnknownError(
        `Append ${sequence} to shard ${this.shard} is unconfirmed: ${result.reason}`,
      );
    }
    this.slotRevisions.set(index, result.revision);
    this.nextSequence++;
  }

  /** Saves a snapshot that contains all appended records. */
  async saveSnapshot(text: string): Promise<void> {
    const sequence = this.nextSequence - 1;
    await this.snapshotStorage.write(sequence, text);
    this.snapshotSequence = sequence;
  }

  private async readSlots(): Promise<LogSlot[]> {
    const result = await listAll(this.store, this.prefix, SLOTS_PER_PAGE);
    const slots = result.values.map(stored => this.readSlot(stored));
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

import {randomUUID} from 'node:crypto';
import {WriteOutcome} from '../../backends/confirming_store.js';
import type {ConfirmingStore} from '../../backends/confirming_store.js';
import {ABSENT_REVISION} from '../../backends/store.js';
import type {Store} from '../../backends/store.js';
import {BaseError} from '../../utilities/base_error.js';
import {packText, unpackText} from './packed_text.js';

/** Below the store's limit of one megabyte per value. */
const MAXIMUM_PART_CHARACTERS = 400_000;
const WRITE_DEADLINE_MILLIS = 5_000;
const SEQUENCE_DIGITS = 12;
const PART_DIGITS = 3;

/** A snapshot could not be read, or not written; the earlier one is kept. */
export const SnapshotError = BaseError.subclass('SnapshotError');

/** A shard's state, and the sequence number of the last append in it. */
export interface Snapshot {
  readonly sequence: number;
  readonly text: string;
}

interface SnapshotHead {
  readonly sequence: number;
  /** Prefix of the keys that hold the parts. */
  readonly partsPrefix: string;
  readonly parts: number;
  readonly nonce: string;
}

/**
 * The snapshot of one shard in the store: parts under keys that are never
 * reused, and a head that refers to them and is written last. This replaces
 * a snapshot atomically without a transaction over several keys. A late write
 * of a former owner leaves unused parts at worst; the next snapshot deletes
 * them.
 */
export class SnapshotStorage {
  private readonly prefix: string;
  private headRevision = ABSENT_REVISION;

  constructor(
    private readonly shard: number,
    private readonly store: Store,
    private readonly writer: ConfirmingStore,
  ) {
    this.prefix = `jobs/${shard}/snapshot/`;
  }

  /** Returns the current snapshot; sequence 0 and no text if there is none. */
  async read(): Promise<Snapshot> {
    const stored = await this.store.get(`${this.prefix}head`);
    this.headRevision = stored?.revision ?? ABSENT_REVISION;
    if (!stored) return {sequence: 0, text: ''};
    const head = JSON.parse(stored.value) as SnapshotHead;
    let text = '';
    for (let part = 0; part < head.parts; part++) {
      text += await this.readPart(head.partsPrefix, part);
    }
    return {sequence: head.sequence, text: unpackText(text)};
  }

  /**
   * Replaces the snapshot.
   *
   * @throws SnapshotError when the write failed; the earlier one is kept.
   */
  async write(sequence: number, text: string): Promise<void> {
    const partsStart = `${this.prefix}parts/`;
    const digits = String(sequence).padStart(SEQUENCE_DIGITS, '0');
    const partsPrefix = `${partsStart}${digits}-${randomUUID()}/`;
    const packed = packText(text);
    const parts = Math.max(
      1,
      Math.ceil(packed.length / MAXIMUM_PART_CHARACTERS),
    );
    for (let part = 0; part < parts; part++) {
      const from = part * MAXIMUM_PART_CHARACTERS;
      const value = packed.slice(from, from + MAXIMUM_PART_CHARACTERS);
      await this.put(partKey(partsPrefix, part), ABSENT_REVISION, value);
    }
    const head: SnapshotHead = {
      sequence,
      partsPrefix,
      parts,
      nonce: randomUUID(),
    };
    this.headRevision = await this.put(
      `${this.prefix}head`,
      this.headRevision,
      JSON.stringify(head),
    );
    await this.store.deleteRange(partsStart, partsPrefix);
  }

  private async readPart(partsPrefix: string, part: number): Promise<string> {
    const stored = await this.store.get(partKey(partsPrefix, part));
    if (stored) return stored.value;
    throw new SnapshotError(
      `Part ${part} of the snapshot of shard ${this.shard} was replaced.`,
    );
  }

  private async put(
    key: string,
    expectedRevision: number,
    value: string,
  ): Promise<number> {
    const result = await this.writer.swap(key, expectedRevision, value, {
      deadlineMillis: WRITE_DEADLINE_MILLIS,
    });
    if (result.outcome === WriteOutcome.WRITTEN) return result.revision;
    throw new SnapshotError(`Key ${key} was not written: ${result.outcome}.`);
  }
}

function partKey(partsPrefix: string, part: number): string {
  return partsPrefix + String(part).padStart(PART_DIGITS, '0');
}

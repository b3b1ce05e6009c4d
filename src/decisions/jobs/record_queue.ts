import type {LogRecord} from '../job_types.js';
import type {JobBook} from './job_book.js';

const RECORDS_PER_APPEND = 2000;

/**
 * Records that were decided but are not in the log yet. The live book holds
 * them at once, the durable book once their append is acknowledged.
 */
export class RecordQueue {
  private queued: LogRecord[] = [];
  private taken: LogRecord[] = [];
  private decidedCount = 0;
  private durableCount = 0;

  constructor(
    private readonly liveBook: JobBook,
    private readonly durableBook: JobBook,
  ) {}

  get size(): number {
    return this.queued.length;
  }

  /** Number of the last record decided; counts from 1. */
  get lastDecided(): number {
    return this.decidedCount;
  }

  /** Number of the last record that the log holds. */
  get lastDurable(): number {
    return this.durableCount;
  }

  append(record: LogRecord): void {
    this.liveBook.fold(record);
    this.queued.push(record);
    this.decidedCount++;
  }

  /** The records of the next append; none while one is not acknowledged. */
  take(): readonly LogRecord[] {
    if (this.taken.length > 0) return [];
    this.taken = this.queued.splice(0, RECORDS_PER_APPEND);
    return this.taken;
  }

  /** The log holds the records last taken; returns them. */
  acknowledge(): readonly LogRecord[] {
    const durable = this.taken;
    this.taken = [];
    this.durableCount += durable.length;
    for (const record of durable) this.durableBook.fold(record);
    return durable;
  }
}

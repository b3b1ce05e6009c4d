import type {LogRecord} from '../job_types.js';
import type {JobRegistry} from './job_registry.js';

const MAXIMUM_RECORDS_PER_APPEND = 2000;

/**
 * Records that are decided but not in the log yet. They are applied to the
 * live registry at once, and to the durable one when their append is
 * acknowledged.
 */
export class RecordQueue {
  private queued: LogRecord[] = [];
  private inFlight: LogRecord[] = [];
  private decidedCount = 0;
  private durableCount = 0;

  constructor(
    private readonly liveBook: JobRegistry,
    private readonly durableBook: JobRegistry,
  ) {}

  get size(): number {
    return this.queued.length;
  }

  /** Sequence number of the last record decided, from 1. */
  get lastDecided(): number {
    return this.decidedCount;
  }

  /** Sequence number of the last record that the log holds. */
  get lastDurable(): number {
    return this.durableCount;
  }

  append(record: LogRecord): void {
    this.liveBook.apply(record);
    this.queued.push(record);
    this.decidedCount++;
  }

  /** Returns the next append's records; none while one is unacknowledged. */
  take(): readonly LogRecord[] {
    if (this.inFlight.length > 0) return [];
    this.inFlight = this.queued.splice(0, MAXIMUM_RECORDS_PER_APPEND);
    return this.inFlight;
  }

  /** Marks the records last taken as durable and returns them. */
  acknowledge(): readonly LogRecord[] {
    const durable = this.inFlight;
    this.inFlight = [];
    this.durableCount += durable.length;
    for (const record of durable) this.durableBook.apply(record);
    return durable;
  }
}

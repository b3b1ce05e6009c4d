import {write} from 'node:fs';
import type {Clock} from '../utilities/clock.js';
import type {LogOutput} from './console_logger.js';

/** Lines of a turn of the loop go out together, at the latest after this. */
const FLUSH_MILLIS = 100;
/** What a reader that stalls may leave waiting; about a second at full load. */
const MAXIMUM_WAITING_BYTES = 512 * 1024;
/** Lines a second under the heaviest load that a process is to log at. */
const MAXIMUM_LINES_A_SECOND = 2_000;
const DRAIN_LOOK_MILLIS = 10;
const MILLIS_PER_SECOND = 1_000;

/** Writes text without blocking; calls back when it is taken. */
export type AsynchronousWrite = (
  text: string,
  onWritten: (error: Error | null) => void,
) => void;

export interface BoundedOutputOptions {
  readonly clock: Clock;
  /** Standard output unless a test puts something else in its place. */
  readonly write?: AsynchronousWrite;
  /** Told how many lines were dropped, once there is room again. */
  readonly onDropped?: (lines: number) => void;
}

/**
 * Log output that never blocks the process: one write is under way at a time,
 * and what comes faster than the budget or the reader is dropped and counted.
 */
export class BoundedOutput implements LogOutput {
  private readonly writeText: AsynchronousWrite;
  private waiting: string[] = [];
  private waitingBytes = 0;
  private writing = false;
  private flushScheduled = false;
  private dropped = 0;
  private secondBeganAt = -Infinity;
  private linesOfSecond = 0;

  constructor(private readonly options: BoundedOutputOptions) {
    this.writeText = options.write ?? writeToStandardOutput;
  }

  write(text: string): boolean {
    if (!this.takeBudget(text.length)) {
      this.dropped++;
      return false;
    }
    this.waiting.push(text);
    this.waitingBytes += text.length;
    this.scheduleFlush();
    return true;
  }

  /** Resolves when all that waits is written, or when the time is up. */
  drain(millis: number): Promise<void> {
    const {clock} = this.options;
    const until = clock.now() + millis;
    return new Promise(resolve => {
      const look = (): void => {
        this.flush();
        const isDrained = !this.writing && this.waiting.length === 0;
        if (isDrained || clock.now() >= until) return resolve();
        clock.schedule(DRAIN_LOOK_MILLIS, look);
      };
      look();
    });
  }

  /** Writes what waits unless a write is under way. */
  private flush(): void {
    if (this.writing || this.waiting.length === 0) return;
    const text = this.waiting.join('');
    this.waiting = [];
    this.waitingBytes = 0;
    this.writing = true;
    this.writeText(text, () => {
      this.writing = false;
      this.noteDropped();
      if (this.waiting.length > 0) this.scheduleFlush();
    });
  }

  private takeBudget(bytes: number): boolean {
    const now = this.options.clock.now();
    if (now - this.secondBeganAt >= MILLIS_PER_SECOND) {
      this.secondBeganAt = now;
      this.linesOfSecond = 0;
    }
    if (this.linesOfSecond >= MAXIMUM_LINES_A_SECOND) return false;
    if (this.waitingBytes + bytes > MAXIMUM_WAITING_BYTES) return false;
    this.linesOfSecond++;
    return true;
  }

  private noteDropped(): void {
    const {dropped} = this;
    if (dropped === 0) return;
    this.dropped = 0;
    this.options.onDropped?.(dropped);
  }

  private scheduleFlush(): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    this.options.clock.schedule(FLUSH_MILLIS, () => {
      this.flushScheduled = false;
      this.flush();
    });
  }
}

function writeToStandardOutput(
  text: string,
  onWritten: (error: Error | null) => void,
): void {
  write(process.stdout.fd, text, error => onWritten(error));
}

import {write} from 'node:fs';
import type {Clock} from '../utilities/clock.js';
import type {LogOutput} from './console_logger.js';

/** Buffered lines are written together after this delay. */
const FLUSH_MILLIS = 100;
/** Limit for a stalled reader; about one second of output at full load. */
const MAXIMUM_BUFFERED_BYTES = 512 * 1024;
/** Rate limit; covers the heaviest load under which a process should log. */
const MAXIMUM_LINES_PER_SECOND = 2_000;
const DRAIN_POLL_MILLIS = 10;
const MILLIS_PER_SECOND = 1_000;

/** Writes text without blocking; calls back when the write has completed. */
export type AsynchronousWrite = (
  text: string,
  onWritten: (error: Error | null) => void,
) => void;

export interface BoundedOutputOptions {
  readonly clock: Clock;
  /** Writes to standard output by default; replaced in tests. */
  readonly write?: AsynchronousWrite;
  /** Called with the number of dropped lines after the next completed write. */
  readonly onDropped?: (lines: number) => void;
}

/**
 * Log output that never blocks the process: one write is in progress at a time,
 * and lines beyond the rate limit or a full buffer are dropped and counted.
 */
export class BoundedOutput implements LogOutput {
  private readonly writeText: AsynchronousWrite;
  private buffer: string[] = [];
  private bufferedBytes = 0;
  private isWriting = false;
  private isFlushScheduled = false;
  private droppedLines = 0;
  private windowStartedAt = -Infinity;
  private linesInWindow = 0;

  constructor(private readonly options: BoundedOutputOptions) {
    this.writeText = options.write ?? writeToStandardOutput;
  }

  write(text: string): boolean {
    if (!this.tryReserve(text.length)) {
      this.droppedLines++;
      return false;
    }
    this.buffer.push(text);
    this.bufferedBytes += text.length;
    this.scheduleFlush();
    return true;
  }

  /** Resolves when the buffer is written, or after the timeout. */
  drain(timeoutMillis: number): Promise<void> {
    const {clock} = this.options;
    const deadline = clock.now() + timeoutMillis;
    return new Promise(resolve => {
      const look = (): void => {
        this.flush();
        const isDrained = !this.isWriting && this.buffer.length === 0;
        if (isDrained || clock.now() >= deadline) return resolve();
        clock.schedule(DRAIN_POLL_MILLIS, look);
      };
      look();
    });
  }

  /** Writes the buffered lines unless a write is in progress. */
  private flush(): void {
    if (this.isWriting || this.buffer.length === 0) return;
    const text = this.buffer.join('');
    this.buffer = [];
    this.bufferedBytes = 0;
    this.isWriting = true;
    this.writeText(text, () => {
      this.isWriting = false;
      this.reportDropped();
      if (this.buffer.length > 0) this.scheduleFlush();
    });
  }

  private tryReserve(bytes: number): boolean {
    const now = this.options.clock.now();
    if (now - this.windowStartedAt >= MILLIS_PER_SECOND) {
      this.windowStartedAt = now;
      this.linesInWindow = 0;
    }
    if (this.linesInWindow >= MAXIMUM_LINES_PER_SECOND) return false;
    if (this.bufferedBytes + bytes > MAXIMUM_BUFFERED_BYTES) return false;
    this.linesInWindow++;
    return true;
  }

  private reportDropped(): void {
    const {droppedLines} = this;
    if (droppedLines === 0) return;
    this.droppedLines = 0;
    this.options.onDropped?.(droppedLines);
  }

  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    this.options.clock.schedule(FLUSH_MILLIS, () => {
      this.isFlushScheduled = false;
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

import {messageOf} from '../utilities/base_error.js';
import type {Clock, Timer} from '../utilities/clock.js';
import type {HttpStreamListener} from './http_connections.js';
import {toChange, toRevision} from './store_messages.js';
import type {WatchReply} from './store_messages.js';
import type {StoreWatch, StoreWatcher} from './store.js';

const NEWLINE = 0x0a;

/**
 * A watch that reads newline-delimited JSON. It ends when the store cancels it,
 * the connection closes, or no message is received for `silenceMillis`.
 */
export class HttpStoreWatch implements HttpStreamListener, StoreWatch {
  private pendingChunks: Buffer[] = [];
  private hasEnded = false;
  private silenceTimer?: Timer;
  private closeStream?: (reason: string) => void;

  constructor(
    private readonly watcher: StoreWatcher,
    private readonly clock: Clock,
    private readonly silenceMillis: number,
  ) {
    this.restartSilenceTimer();
  }

  /** Sets the function that closes the underlying stream. */
  attach(closeStream: (reason: string) => void): void {
    this.closeStream = closeStream;
    if (this.hasEnded) closeStream('the watch has ended');
  }

  onData(chunk: Buffer): void {
    if (this.hasEnded) return;
    this.restartSilenceTimer();
    let remaining = chunk;
    for (;;) {
      const end = remaining.indexOf(NEWLINE);
      if (end < 0) break;
      this.pendingChunks.push(remaining.subarray(0, end));
      const line = Buffer.concat(this.pendingChunks).toString();
      this.pendingChunks = [];
      remaining = remaining.subarray(end + 1);
      this.readLine(line);
      if (this.hasEnded) return;
    }
    if (remaining.length > 0) this.pendingChunks.push(remaining);
  }

  onEnd(reason: string): void {
    if (!this.stop()) return;
    this.watcher.onEnd(reason);
  }

  close(reason: string): void {
    if (!this.stop()) return;
    this.closeStream?.(reason);
  }

  private readLine(line: string): void {
    if (line.trim() === '') return;
    try {
      this.handleReply(JSON.parse(line) as WatchReply);
    } catch (thrown) {
      this.fail(`unreadable: ${messageOf(thrown)}`);
    }
  }

  private handleReply(reply: WatchReply): void {
    const result = reply.result;
    if (!result) {
      this.fail(reply.error?.message ?? 'the store sent no result');
      return;
    }
    if (result.canceled) {
      const compacted = Number(result.compact_revision ?? 0) > 0;
      const reason = compacted ? 'compacted' : 'cancelled by the store';
      this.fail(result.cancel_reason || reason);
      return;
    }
    const events = result.events ?? [];
    if (events.length === 0) return;
    this.watcher.onChanges(events.map(toChange), toRevision(result.header));
  }

  private fail(reason: string): void {
    this.onEnd(reason);
    this.closeStream?.(reason);
  }

  private stop(): boolean {
    if (this.hasEnded) return false;
    this.hasEnded = true;
    this.silenceTimer?.cancel();
    return true;
  }

  private restartSilenceTimer(): void {
    this.silenceTimer?.cancel();
    this.silenceTimer = this.clock.schedule(this.silenceMillis, () =>
      this.fail(`no message received for ${this.silenceMillis} ms`),
    );
  }
}

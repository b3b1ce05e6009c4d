import {messageOf} from '../utilities/base_error.js';
import type {Clock, Timer} from '../utilities/clock.js';
import type {HttpStreamListener} from './http_connections.js';
import {toChange, toRevision} from './store_messages.js';
import type {WatchReply} from './store_messages.js';
import type {StoreWatch, StoreWatcher} from './store.js';

const NEWLINE = 0x0a;

/**
 * One watch: reads newline-delimited JSON and ends when the store cancels it,
 * the connection closes, or nothing is heard for the silence deadline.
 */
export class HttpStoreWatch implements HttpStreamListener, StoreWatch {
  private parts: Buffer[] = [];
  private ended = false;
  private silence?: Timer;
  private closeStream?: (reason: string) => void;

  constructor(
    private readonly watcher: StoreWatcher,
    private readonly clock: Clock,
    private readonly silenceMillis: number,
  ) {
    this.expectWord();
  }

  /** Takes the function that ends the stream underneath. */
  attach(closeStream: (reason: string) => void): void {
    this.closeStream = closeStream;
    if (this.ended) closeStream('the watch has ended');
  }

  onData(chunk: Buffer): void {
    if (this.ended) return;
    this.expectWord();
    let rest = chunk;
    for (;;) {
      const end = rest.indexOf(NEWLINE);
      if (end < 0) break;
      this.parts.push(rest.subarray(0, end));
      const line = Buffer.concat(this.parts).toString();
      this.parts = [];
      rest = rest.subarray(end + 1);
      this.readLine(line);
      if (this.ended) return;
    }
    if (rest.length > 0) this.parts.push(rest);
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
      this.take(JSON.parse(line) as WatchReply);
    } catch (thrown) {
      this.fail(`unreadable: ${messageOf(thrown)}`);
    }
  }

  private take(reply: WatchReply): void {
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
    if (this.ended) return false;
    this.ended = true;
    this.silence?.cancel();
    return true;
  }

  private expectWord(): void {
    this.silence?.cancel();
    this.silence = this.clock.schedule(this.silenceMillis, () =>
      this.fail(`nothing heard for ${this.silenceMillis} ms`),
    );
  }
}

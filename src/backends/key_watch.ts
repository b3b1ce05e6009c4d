import type {Clock} from '../utilities/clock.js';
import {pause} from '../utilities/pause.js';
import {messageOf} from '../utilities/base_error.js';
import type {StoredValue} from './store.js';
import type {TransactionalStore} from './transactional_store.js';

/** A watch without changes is reopened after this long. */
const WATCH_WAIT_MILLIS = 10_000;
/** Delay before a failed watch is reopened; periodic reads continue. */
const WATCH_RETRY_DELAY_MILLIS = 300;

export interface KeyWatchOptions {
  readonly store: Pick<TransactionalStore, 'list' | 'changesAfter'>;
  readonly clock: Clock;
  readonly key: string;
  /**
   * Interval of reads of the key in addition to the watch, which may stop
   * delivering changes without an error.
   */
  readonly readMillis: number;
  /**
   * Called with the first value read and with each changed one; undefined while
   * the key doesn't exist.
   */
  readonly onValue: (value: StoredValue | undefined) => void;
  readonly onFailure: (reason: string) => void;
}

/**
 * Reports the values of one key of the store. A watch triggers a read as soon as
 * the key changes, and the key is also read periodically. An older state is
 * never reported after a newer one.
 */
export class KeyWatch {
  private revision = -Infinity;
  private lastReported: StoredValue | undefined;
  private isClosed = false;

  constructor(private readonly options: KeyWatchOptions) {}

  start(): void {
    void this.readRepeatedly();
    void this.watchRepeatedly();
  }

  close(): void {
    this.isClosed = true;
  }

  private async readRepeatedly(): Promise<void> {
    const {clock, readMillis} = this.options;
    while (!this.isClosed) {
      await this.read();
      await pause(clock, readMillis);
    }
  }

  private async watchRepeatedly(): Promise<void> {
    const {store, key, onFailure, clock} = this.options;
    while (!this.isClosed) {
      try {
        if (this.revision < 0 && !(await this.read())) {
          await pause(clock, WATCH_RETRY_DELAY_MILLIS);
          continue;
        }
        const {revision} = this;
        const result = await store.changesAfter(
          key,
          revision,
          WATCH_WAIT_MILLIS,
        );
        const shouldRead = result === undefined || result.changes.length > 0;
        if (shouldRead) await this.read();
      } catch (error) {
        onFailure(messageOf(error));
        await pause(clock, WATCH_RETRY_DELAY_MILLIS);
      }
    }
  }

  /** Resolves to false if the read failed. */
  private async read(): Promise<boolean> {
    const {store, key, onFailure} = this.options;
    try {
      const {values, revision} = await store.list(key);
      this.applyValue(
        values.find(each => each.key === key),
        revision,
      );
      return true;
    } catch (error) {
      onFailure(messageOf(error));
      return false;
    }
  }

  private applyValue(value: StoredValue | undefined, revision: number): void {
    if (this.isClosed || revision < this.revision) return;
    const isFirst = this.revision < 0;
    const isChanged = value?.revision !== this.lastReported?.revision;
    this.revision = revision;
    this.lastReported = value;
    if (isFirst || isChanged) this.options.onValue(value);
  }
}

import type {
  StorePut,
  TransactionalStore,
  TransactionResult,
} from '../../backends/transactional_store.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {
  Counter,
  LatencyHistogram,
  Metrics,
} from '../../observability/metrics.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {decodeCommit, encodeRecord} from '../../protocol/owner_record.js';
import type {OwnerRecord} from '../../protocol/owner_record.js';
import {StoreKeys} from '../../protocol/store_keys.js';
import {pause} from '../../utilities/pause.js';

/**
 * A store transaction is limited to 32 rows: three are used by the chain of
 * commits, and one is left free.
 */
const MAXIMUM_ROWS = 28;
/**
 * A commit is closed once its text reaches this size. A link of 14 Mbit/s
 * transfers it in 50 ms, well within the owner's lease.
 */
const MAXIMUM_CHARACTERS = 64 * 1024;
/**
 * Minimum time between the starts of two commits. A change after an idle period
 * is committed at once; under load, fewer and larger commits use less processor
 * time and less of the store's rate limits.
 */
const COMMIT_INTERVAL_MILLIS = 20;
/** Delay before a failed commit is retried. */
const RETRY_MILLIS = 50;

/** The rows that a change writes and removes. */
export interface ChangedRows {
  readonly puts: readonly StorePut[];
  readonly removals: readonly string[];
  /** Called when the rows are included in the commit being built. */
  readonly onIncluded?: () => void;
}

/** Rows of one subject, always written in the same commit. */
interface PendingChange {
  /** Called when the commit is built, to include all changes so far. */
  readonly render: () => ChangedRows;
  /** Called in order once the rows are durable. */
  readonly effects: Array<() => void>;
}

export interface CommitLogOptions {
  readonly store: TransactionalStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly owner: Pick<OwnerRecord, 'nonce' | 'leaseId'>;
  /** Revision of the owner's claim. */
  readonly epoch: number;
  /** True if no earlier owner can act any more. */
  readonly isSole?: () => boolean;
  /** Called when another process owns the pool, or the key was removed. */
  readonly onDeposed: (reason: string) => void;
}

/**
 * Writes the owner's changes to the store. Each commit increments a sequence
 * number at one key on condition that the key's revision is unchanged, so
 * commits apply in order and a delayed one can't apply after a later one. None
 * applies once the owner's key was removed. Changes that arrive during a commit
 * are batched into the next one.
 */
export class CommitLog {
  private readonly pending = new Map<string, PendingChange>();
  private sequence = 0;
  private revision: number;
  private running = false;
  private startedAt = -Infinity;
  private readonly commitTimes: LatencyHistogram;
  private readonly commitBytes: Counter;
  private closedReason: string | undefined;

  constructor(private readonly options: CommitLogOptions) {
    this.revision = options.epoch;
    this.commitTimes = options.metrics.latency(
      'commit_seconds',
      'From a decision being sent to its commit.',
    );
    this.commitBytes = options.metrics.counter(
      'commit_characters_total',
      'Text of the values that commits wrote.',
    );
  }

  /** True if all changes are durable. */
  get isIdle(): boolean {
    return this.pending.size === 0 && !this.running;
  }

  /** Adds the rows of a subject to the next commit. */
  change(
    subject: string,
    render: PendingChange['render'],
    effect?: () => void,
  ): void {
    const known = this.pending.get(subject);
    const effects = known?.effects ?? [];
    if (effect) effects.push(effect);
    this.pending.set(subject, {render, effects});
    this.schedule();
  }

  close(reason: string): void {
    this.closedReason = reason;
    this.pending.clear();
  }

  /** Batches the changes of one turn of the event loop. */
  private schedule(): void {
    if (this.running || this.closedReason !== undefined) return;
    this.running = true;
    setImmediate(() => void this.run());
  }

  private async run(): Promise<void> {
    while (this.pending.size > 0 && this.closedReason === undefined) {
      const wait =
        this.startedAt + COMMIT_INTERVAL_MILLIS - this.options.clock.now();
      if (wait > 0) await pause(this.options.clock, wait);
      if (this.closedReason === undefined) await this.commitNext();
    }
    this.running = false;
  }

  private async commitNext(): Promise<void> {
    const {puts, removals, effects} = this.takeBatch();
    const sequence = this.sequence + 1;
    const {owner, clock, isSole} = this.options;
    const {nonce, leaseId} = owner;
    const value = encodeRecord({
      nonce,
      sequence,
      leaseId,
      isSole: isSole?.() ?? false,
    });
    const startedAt = clock.now();
    this.startedAt = startedAt;
    const committed = await this.commitUntilDecided(
      sequence,
      [{key: StoreKeys.COMMITS, value}, ...puts],
      removals,
    );
    if (!committed || this.closedReason !== undefined) return;
    this.sequence = sequence;
    this.commitTimes.record(clock.now() - startedAt);
    for (const effect of effects) effect();
  }

  private takeBatch(): {
    puts: StorePut[];
    removals: string[];
    effects: Array<() => void>;
  } {
    const puts: StorePut[] = [];
    const removals: string[] = [];
    const effects: Array<() => void> = [];
    let characters = 0;
    for (const [subject, change] of this.pending) {
      if (characters >= MAXIMUM_CHARACTERS) break;
      const rows = change.render();
      const count = rows.puts.length + rows.removals.length;
      const before = puts.length + removals.length;
      const total = before + count;
      if (total > MAXIMUM_ROWS && before > 0) break;
      for (const {value} of rows.puts) characters += value.length;
      this.pending.delete(subject);
      rows.onIncluded?.();
      puts.push(...rows.puts);
      removals.push(...rows.removals);
      effects.push(...change.effects);
      if (total >= MAXIMUM_ROWS) break;
    }
    this.commitBytes.increment(characters);
    return {puts, removals, effects};
  }

  /** Retries the commit until it is known to be written or superseded. */
  private async commitUntilDecided(
    sequence: number,
    puts: readonly StorePut[],
    removals: readonly string[],
  ): Promise<boolean> {
    const {store, logger, onDeposed, epoch} = this.options;
    for (let tries = 1; this.closedReason === undefined; tries++) {
      try {
        const result = await store.transact({
          conditions: [
            {key: StoreKeys.OWNER, revision: epoch},
            {key: StoreKeys.COMMITS, revision: this.revision},
          ],
          puts,
          removals,
        });
        const revision = this.revisionOf(result, sequence);
        if (revision === undefined) {
          onDeposed("the owner's key was rewritten or removed");
          return false;
        }
        this.revision = revision;
        return true;
      } catch (error) {
        const reason = messageOf(error);
        logger.event(Events.COMMIT_RETRIED, {reason, tries, sequence});
        await pause(this.options.clock, RETRY_MILLIS);
      }
    }
    return false;
  }

  /**
   * Returns the revision of the commit, or undefined if a condition failed for
   * any reason but an earlier attempt at this commit.
   */
  private revisionOf(
    result: TransactionResult,
    sequence: number,
  ): number | undefined {
    if (result.succeeded) return result.revision;
    const stored = result.current.find(({key}) => key === StoreKeys.COMMITS);
    const record = stored && decodeCommit(stored.value);
    if (!stored || record?.nonce !== this.options.owner.nonce) return undefined;
    // An earlier attempt was written although its response was lost.
    return record.sequence === sequence ? stored.revision : undefined;
  }
}

import type {StoredValue} from '../../backends/store.js';
import type {TransactionalStore} from '../../backends/transactional_store.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {
  lastKeySegment,
  refusedKey,
  specKey,
  StoreKeys,
} from '../../protocol/store_keys.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';

/** Four rows each, of the 32 that a store transaction may have. */
const MAXIMUM_REMOVALS = 7;

export interface RefusalRemovalOptions {
  readonly store: TransactionalStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time from the first sight of a record to its removal. */
  readonly retentionMillis: number;
}

interface SeenRecord {
  readonly revision: number;
  readonly seenAt: number;
}

/**
 * Removes the records of refused workflows after the retention time. The time
 * counts from when this owner first saw the record, on the monotonic clock: a
 * jump of the calendar must not remove a record while a write of its workflow
 * may still arrive. A removal is conditional on the record's revision, so that it
 * can't remove a workflow that took the record's place.
 */
export class RefusalRemoval {
  private readonly seen = new Map<string, SeenRecord>();
  private isRunning = false;

  constructor(private readonly options: RefusalRemovalOptions) {}

  /** Looks for records, and removes those that are due. */
  async run(): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    try {
      const {values} = await this.options.store.list(StoreKeys.REFUSED_PREFIX);
      await this.removeAll(this.findDue(values));
    } catch (error) {
      const reason = messageOf(error);
      const {logger} = this.options;
      logger.event(Events.REFUSAL_REMOVAL_FAILED, {reason});
    } finally {
      this.isRunning = false;
    }
  }

  private findDue(records: readonly StoredValue[]): StoredValue[] {
    const {clock, retentionMillis} = this.options;
    const now = clock.now();
    const known = new Map(this.seen);
    this.seen.clear();
    const due: StoredValue[] = [];
    for (const record of records) {
      const {key, revision} = record;
      const before = known.get(key);
      const seen =
        before?.revision === revision ? before : {revision, seenAt: now};
      this.seen.set(key, seen);
      if (now - seen.seenAt >= retentionMillis) due.push(record);
    }
    return due;
  }

  private async removeAll(due: readonly StoredValue[]): Promise<void> {
    for (let first = 0; first < due.length; first += MAXIMUM_REMOVALS) {
      await this.remove(due.slice(first, first + MAXIMUM_REMOVALS));
    }
  }

  /** A failed condition leaves all of them for the next time. */
  private async remove(records: readonly StoredValue[]): Promise<void> {
    const rows = records.flatMap(({key, revision}) => {
      const id = lastKeySegment(key);
      return [
        {key: refusedKey(id), revision},
        {key: specKey(id), revision},
      ];
    });
    await this.options.store.transact({
      conditions: rows,
      puts: [],
      removals: rows.map(({key}) => key),
    });
  }
}

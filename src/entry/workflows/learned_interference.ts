import type {TransactionalStore} from '../../backends/transactional_store.js';
import type {ImageInterference} from '../../decisions/workflows/image_interference.js';
import {
  decodeLearnedPairs,
  encodeLearnedPairs,
} from '../../decisions/workflows/tails/learned_pairs_codec.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {StoreKeys} from '../../protocol/store_keys.js';
import {messageOf} from '../../utilities/base_error.js';
import type {CommitLog} from './commit_log.js';

export interface LearnedInterferenceOptions {
  readonly store: TransactionalStore;
  readonly commits: CommitLog;
  readonly logger: Logger;
  readonly interference: ImageInterference;
}

/**
 * Keeps what an owner has learned about pairs of images in the store, so that
 * the next owner does not disturb latency-critical tasks to learn it anew.
 */
export class LearnedInterference {
  private savedChanges = 0;

  constructor(private readonly options: LearnedInterferenceOptions) {}

  /** Adopts the stored pairs; without them the owner starts with none. */
  async load(): Promise<void> {
    const {store, logger, interference} = this.options;
    try {
      const stored = await store.get(StoreKeys.LEARNED_INTERFERENCE);
      if (!stored) return;
      const pairs = decodeLearnedPairs(stored.value);
      if (!pairs) return this.reportUnusable('the record cannot be decoded');
      interference.restore(pairs);
      logger.event(Events.INTERFERENCE_RESTORED, {pairs: pairs.length});
    } catch (error) {
      this.reportUnusable(messageOf(error));
    }
  }

  /** Writes the pairs with the next commit if an estimate has changed. */
  save(): void {
    const {commits, interference} = this.options;
    if (interference.changeCount === this.savedChanges) return;
    this.savedChanges = interference.changeCount;
    commits.change(StoreKeys.LEARNED_INTERFERENCE, () => ({
      puts: [
        {
          key: StoreKeys.LEARNED_INTERFERENCE,
          value: encodeLearnedPairs(interference.learnedPairs()),
        },
      ],
      removals: [],
    }));
  }

  private reportUnusable(reason: string): void {
    this.options.logger.event(Events.INTERFERENCE_NOT_RESTORED, {reason});
  }
}

import type {Logger} from '../observability/logger.js';
import type {Metrics} from '../observability/metrics.js';
import type {Store} from '../backends/store.js';
import type {LinkFactory} from '../protocol/links.js';
import type {Clock} from '../utilities/clock.js';
import type {Random} from '../utilities/random.js';
import type {EntryRecord} from './membership/entry_registry.js';

/** Options and dependencies of an entry. */
export interface EntryProcessOptions {
  readonly record: EntryRecord;
  readonly shardCount: number;
  /** HOST:PORT each; contacted while no other entry is known. */
  readonly peerAddresses?: readonly string[];
  /** Must already limit calls to the budget of this process. */
  readonly store: Store;
  readonly links: LinkFactory;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** How long an owner keeps renewing task leases without the store. */
  readonly outageGraceMillis?: number;
}

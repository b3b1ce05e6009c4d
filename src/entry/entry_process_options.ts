import type {Logger} from '../observability/logger.js';
import type {Metrics} from '../observability/metrics.js';
import type {Store} from '../backends/store.js';
import type {LinkFactory} from '../protocol/links.js';
import type {Clock} from '../utilities/clock.js';
import type {Random} from '../utilities/random.js';
import type {EntryRecord} from './membership/entry_roster.js';

/** What an entry is told at its start, and what it works with. */
export interface EntryProcessOptions {
  readonly record: EntryRecord;
  readonly shardCount: number;
  /** HOST:PORT each, asked while no other entry is known. */
  readonly peerAddresses?: readonly string[];
  /** Within its budget of calls. */
  readonly store: Store;
  readonly links: LinkFactory;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** How long an owner goes on renewing task leases without the store. */
  readonly outageGraceMillis?: number;
}

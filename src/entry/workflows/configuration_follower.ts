import {TokenBucket} from '../../backends/token_bucket.js';
import type {
  StoreChanges,
  TransactionalStore,
} from '../../backends/transactional_store.js';
import {QueueTable} from '../../decisions/workflows/queue_table.js';
import type {FleetConfiguration} from '../../decisions/workflows/workflow_types.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {pause} from '../../utilities/pause.js';

/** Poll interval: half of the time within which a change must take effect. */
const POLL_INTERVAL_MILLIS = 1_000;
/** Poll interval until a first configuration was read. */
const INITIAL_POLL_INTERVAL_MILLIS = 200;
/** A watch that returned no changes is restarted after this time. */
const WATCH_TIMEOUT_MILLIS = 15_000;
/** Delay before a failed watch is restarted; polling continues meanwhile. */
const WATCH_RETRY_MILLIS = 500;
/** Limits for reads that callers' unknown paths cause, an entry. */
const REFRESHES_PER_SECOND = 2;
const REFRESH_BURST = 5;

/** Key names and decoders of the operators' documents in the store. */
export interface OperatorDocuments {
  readonly prefix: string;
  readonly configurationKey: string;
  /** Prefix of the keys of evacuated failure domains. */
  readonly evacuationPrefix: string;
  decodeConfiguration(text: string): FleetConfiguration | undefined;
  evacuatedDomainOfKey(key: string): string | undefined;
}

export interface ConfigurationFollowerOptions {
  readonly store: TransactionalStore;
  readonly documents: OperatorDocuments;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly onChange: () => void;
}

/**
 * Keeps the operators' configuration and evacuated failure domains up to date.
 * A watch delivers changes at once; since it can disconnect unnoticed, the
 * store is also polled once a second. A configuration may be megabytes in size,
 * so a poll transfers it only when it has changed. It is never replaced by an
 * older one.
 */
export class ConfigurationFollower {
  private current: QueueTable | undefined;
  /** Revision of the configuration read last, even if it was unreadable. */
  private configurationRevision = 0;
  private evacuated: ReadonlySet<string> = new Set();
  /** Revision of the store at which `evacuated` was read. */
  private evacuatedRevision = -Infinity;
  private unreadableText = '';
  private confirmedAt = -Infinity;
  private closed = false;
  private readonly refreshBudget: TokenBucket;
  /** A refresh that has not begun yet. */
  private nextRefresh: Promise<boolean> | undefined;

  constructor(private readonly options: ConfigurationFollowerOptions) {
    this.refreshBudget = new TokenBucket(
      REFRESHES_PER_SECOND,
      REFRESH_BURST,
      options.clock.now(),
    );
  }

  /** The configured queues; undefined until a configuration was read. */
  get table(): QueueTable | undefined {
    return this.current;
  }

  /** Time since the last successful poll was sent, in milliseconds. */
  get ageMillis(): number {
    return this.options.clock.now() - this.confirmedAt;
  }

  isEvacuated(failureDomain: string): boolean {
    return this.evacuated.has(failureDomain);
  }

  start(): void {
    void this.pollStore();
    void this.watchStore();
  }

  close(): void {
    this.closed = true;
  }

  /**
   * Applies all changes up to now; false if the store did not respond. Calls
   * that come while the rate of reads is used up share the next one.
   */
  refresh(): Promise<boolean> {
    this.nextRefresh ??= this.refreshWithinRate();
    return this.nextRefresh;
  }

  private async refreshWithinRate(): Promise<boolean> {
    const {clock} = this.options;
    const waitMillis = this.refreshBudget.millisUntil(1, clock.now());
    this.refreshBudget.takeInAdvance(clock.now());
    if (waitMillis > 0) await pause(clock, waitMillis);
    // A read that has begun may miss changes made before a later call.
    this.nextRefresh = undefined;
    return (await this.read()) !== undefined;
  }

  private async pollStore(): Promise<void> {
    const {clock} = this.options;
    while (!this.closed) {
      await this.read();
      await pause(
        clock,
        this.current ? POLL_INTERVAL_MILLIS : INITIAL_POLL_INTERVAL_MILLIS,
      );
    }
  }

  private async watchStore(): Promise<void> {
    const {store, documents, clock, logger} = this.options;
    let revision: number | undefined;
    while (!this.closed) {
      try {
        revision ??= await this.read();
        if (revision === undefined) {
          await pause(clock, WATCH_RETRY_MILLIS);
          continue;
        }
        const found = await store.changesAfter(
          documents.prefix,
          revision,
          WATCH_TIMEOUT_MILLIS,
        );
        revision = found && this.applyChanges(found);
      } catch (error) {
        const reason = messageOf(error);
        logger.event(Events.OPERATOR_KEYS_STALE, {reason, keys: 'watch'});
        revision = undefined;
        await pause(clock, WATCH_RETRY_MILLIS);
      }
    }
  }

  /**
   * Reads and applies changes. Resolves to a revision up to which all changes
   * were applied, or to undefined if the store did not respond.
   */
  private async read(): Promise<number | undefined> {
    const {store, documents, clock, logger} = this.options;
    const sentAt = clock.now();
    try {
      const evacuations = await store.list(documents.evacuationPrefix);
      await this.readConfiguration();
      this.acceptEvacuations(
        new Set(
          evacuations.values.flatMap(
            ({key}) => documents.evacuatedDomainOfKey(key) ?? [],
          ),
        ),
        evacuations.revision,
      );
      this.confirmedAt = Math.max(this.confirmedAt, sentAt);
      return evacuations.revision;
    } catch (error) {
      const reason = messageOf(error);
      logger.event(Events.OPERATOR_KEYS_STALE, {reason, keys: 'all'});
      return undefined;
    }
  }

  /** If the revision differs, the failed condition returns the new value. */
  private async readConfiguration(): Promise<void> {
    const {store, documents} = this.options;
    const key = documents.configurationKey;
    const revision = this.configurationRevision;
    const {succeeded, current} = await store.transact({
      conditions: [{key, revision}],
      puts: [],
    });
    if (succeeded) return;
    const [stored] = current;
    if (stored) this.acceptConfiguration(stored.value, stored.revision);
  }

  /**
   * Returns the revision from which the watch continues, or undefined if
   * several versions arrived at once: they come faster than the link transfers
   * them, so only the latest is worth reading.
   */
  private applyChanges({changes, revision}: StoreChanges): number | undefined {
    const {documents} = this.options;
    const evacuated = new Set(this.evacuated);
    for (const {key, value} of changes) {
      const domain = documents.evacuatedDomainOfKey(key);
      if (domain === undefined) continue;
      if (value === undefined) evacuated.delete(domain);
      else evacuated.add(domain);
    }
    this.acceptEvacuations(evacuated, revision);
    const versions = changes.filter(
      ({key}) => key === documents.configurationKey,
    );
    const last = versions.at(-1);
    if (last?.value !== undefined) {
      this.acceptConfiguration(last.value, last.revision);
    }
    return versions.length > 1 ? undefined : revision;
  }

  private acceptConfiguration(text: string, revision: number): void {
    if (this.closed || revision <= this.configurationRevision) return;
    this.configurationRevision = revision;
    this.apply(text);
  }

  private acceptEvacuations(
    evacuated: ReadonlySet<string>,
    revision: number,
  ): void {
    if (this.closed || revision < this.evacuatedRevision) return;
    this.evacuatedRevision = revision;
    this.applyEvacuations(evacuated);
  }

  private apply(text: string): void {
    const {documents, logger, onChange} = this.options;
    const configuration = documents.decodeConfiguration(text);
    if (!configuration) {
      if (text !== this.unreadableText)
        logger.event(Events.CONFIGURATION_UNREADABLE);
      this.unreadableText = text;
      return;
    }
    const before = this.current?.configuration.version ?? -Infinity;
    if (configuration.version <= before) return;
    this.current = new QueueTable(configuration);
    logger.event(Events.CONFIGURATION_APPLIED, {
      version: configuration.version,
      queues: configuration.queues.length,
    });
    onChange();
  }

  private applyEvacuations(evacuated: ReadonlySet<string>): void {
    const before = [...this.evacuated].sort().join(' ');
    const after = [...evacuated].sort().join(' ');
    this.evacuated = evacuated;
    if (before === after) return;
    const {logger, onChange} = this.options;
    logger.event(Events.DOMAIN_EVACUATED, {failureDomains: after});
    onChange();
  }
}

import type {TransactionalStore} from '../../backends/transactional_store.js';
import {QueueTable} from '../../decisions/workflows/queue_table.js';
import type {FleetConfiguration} from '../../decisions/workflows/workflow_types.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {pause} from '../../utilities/pause.js';

/** Half of the time in which a change has to be in force. */
const POLL_MILLIS = 1_000;
/** While nothing is known yet, the store is asked this often. */
const FIRST_POLL_MILLIS = 200;
/** A watch that brought nothing is begun anew after this long. */
const WATCH_MILLIS = 15_000;
/** Pause after a watch that failed; polls go on meanwhile. */
const WATCH_PAUSE_MILLIS = 500;

/** How the operators' keys are spelled and what they hold. */
export interface OperatorDocuments {
  readonly prefix: string;
  readonly configurationKey: string;
  decodeConfiguration(text: string): FleetConfiguration | undefined;
  evacuatedDomainOf(key: string): string | undefined;
}

export interface ConfigurationFollowerOptions {
  readonly store: TransactionalStore;
  readonly documents: OperatorDocuments;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly onChange: () => void;
}

/**
 * The operators' configuration and the failure domains that they evacuate. A
 * watch brings changes at once; since it can go deaf, everything is read anew
 * once a second too. A configuration is never replaced by an older one.
 */
export class ConfigurationFollower {
  private current: QueueTable | undefined;
  private evacuated: ReadonlySet<string> = new Set();
  private unreadable = '';
  private readAtMillis = -Infinity;
  private closed = false;

  constructor(private readonly options: ConfigurationFollowerOptions) {}

  /** Undefined until a configuration was read. */
  get table(): QueueTable | undefined {
    return this.current;
  }

  /** Age of the last whole read in milliseconds. */
  get ageMillis(): number {
    return this.options.clock.now() - this.readAtMillis;
  }

  isEvacuated(failureDomain: string): boolean {
    return this.evacuated.has(failureDomain);
  }

  start(): void {
    void this.poll();
    void this.follow();
  }

  close(): void {
    this.closed = true;
  }

  /** Reads everything; false when the store did not answer. */
  async refresh(): Promise<boolean> {
    return (await this.read()) !== undefined;
  }

  private async poll(): Promise<void> {
    while (!this.closed) {
      await this.read();
      await pause(
        this.options.clock,
        this.current ? POLL_MILLIS : FIRST_POLL_MILLIS,
      );
    }
  }

  private async follow(): Promise<void> {
    const {store, documents, logger} = this.options;
    let revision: number | undefined;
    while (!this.closed) {
      try {
        revision ??= await this.read();
        if (revision === undefined) {
          await pause(this.options.clock, WATCH_PAUSE_MILLIS);
          continue;
        }
        const changes = await store.changesAfter(
          documents.prefix,
          revision,
          WATCH_MILLIS,
        );
        const isNews = changes === undefined || changes.changes.length > 0;
        if (isNews) revision = await this.read();
        else revision = changes.revision;
      } catch (error) {
        const reason = messageOf(error);
        logger.event(Events.OPERATOR_KEYS_STALE, {reason, keys: 'watch'});
        revision = undefined;
        await pause(this.options.clock, WATCH_PAUSE_MILLIS);
      }
    }
  }

  /** Resolves to the revision of what was read. */
  private async read(): Promise<number | undefined> {
    const {store, documents, clock, logger} = this.options;
    const sentAt = clock.now();
    try {
      const {values, revision} = await store.list(documents.prefix);
      if (this.closed || sentAt < this.readAtMillis) return revision;
      this.readAtMillis = sentAt;
      const evacuated = new Set<string>();
      for (const {key, value} of values) {
        if (key === documents.configurationKey) this.apply(value);
        const domain = documents.evacuatedDomainOf(key);
        if (domain !== undefined) evacuated.add(domain);
      }
      this.applyEvacuations(evacuated);
      return revision;
    } catch (error) {
      const reason = messageOf(error);
      logger.event(Events.OPERATOR_KEYS_STALE, {reason, keys: 'all'});
      return undefined;
    }
  }

  private apply(text: string): void {
    const {documents, logger, onChange} = this.options;
    const configuration = documents.decodeConfiguration(text);
    if (!configuration) {
      if (text !== this.unreadable)
        logger.event(Events.CONFIGURATION_UNREADABLE);
      this.unreadable = text;
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

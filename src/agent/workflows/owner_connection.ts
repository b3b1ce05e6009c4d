import type {TransactionalStore} from '../../backends/transactional_store.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {
  WorkerCommands,
  WorkerUpdate,
} from '../../protocol/generated/burdockmoor.js';
import type {
  Attachment,
  PoolLink,
  PoolLinkFactory,
} from '../../protocol/pool_links.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {pause} from '../../utilities/pause.js';

/** An owner that responds to no update for this long is disconnected. */
const SILENT_MILLIS = 1_300;
/**
 * Silence longer than the slowest response to an update. From then on the store
 * is checked, since it may name another owner by now.
 */
const OWNER_CHECK_MILLIS = 900;
const RETRY_MILLIS = 250;
const WATCHDOG_MILLIS = 250;
/** Duration of one watch of the owner key while the pool has no owner. */
const OWNER_WATCH_MILLIS = 1_000;
/** Minimum interval between reads of the entries, which change rarely. */
const ENTRIES_READ_MILLIS = 5_000;
/** The same when an owner confirms: keeps entries known for later queries. */
const ENTRIES_REFRESH_MILLIS = 30_000;

export interface OwnerConnectionOptions {
  readonly store: TransactionalStore;
  readonly links: PoolLinkFactory;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Addresses of entries that may know the owner. */
  readonly seeds: readonly string[];
  /** The store key that holds the owner's address. */
  readonly ownerKey: string;
  readonly entryPrefix: string;
  readonly decodeOwner: (
    text: string,
  ) => {readonly address: string} | undefined;
  readonly decodeEntry: (
    text: string,
  ) => {readonly address: string} | undefined;
  readonly onAttached: () => void;
  readonly onCommands: (commands: WorkerCommands) => void;
}

/** Keeps the agent attached to the current owner of the pool. */
export class OwnerConnection {
  private link: PoolLink | undefined;
  private attachment: Attachment<WorkerUpdate> | undefined;
  private address = '';
  /** Address of the last owner that became silent. */
  private silentAddress = '';
  private lastMessageAt = 0;
  private highestEpoch = 0;
  private isConfirmed = false;
  private readonly entries = new Set<string>();
  private entriesReadAt = -Infinity;
  private silentOwnerSearches = 0;
  private closed = false;

  constructor(private readonly options: OwnerConnectionOptions) {
    for (const seed of options.seeds) this.entries.add(seed);
  }

  start(): void {
    void this.keepAttached();
  }

  close(reason: string): void {
    this.closed = true;
    this.detach(reason);
  }

  /** Returns false if there is no owner or it reads too slowly. */
  send(update: WorkerUpdate): boolean {
    return this.attachment?.send(update) ?? false;
  }

  private async keepAttached(): Promise<void> {
    while (!this.closed) {
      if (this.attachment) {
        this.detachIfSilent();
        await this.detachIfReplaced();
        await pause(this.options.clock, WATCHDOG_MILLIS);
        continue;
      }
      const address = await this.findOwner();
      if (this.closed) return;
      if (address !== undefined) this.attachTo(address);
    }
  }

  private detachIfSilent(): void {
    const silentMillis = this.options.clock.now() - this.lastMessageAt;
    if (silentMillis < SILENT_MILLIS) return;
    this.silentAddress = this.address;
    this.detach(`no message for ${Math.round(silentMillis)} ms`);
  }

  /** Checks the store while the owner is silent or has not responded yet. */
  private async detachIfReplaced(): Promise<void> {
    const {address, link, isConfirmed} = this;
    const silentMillis = this.options.clock.now() - this.lastMessageAt;
    if (!link || (isConfirmed && silentMillis < OWNER_CHECK_MILLIS)) return;
    const present = await this.readOwner();
    if (present === undefined || present === address) return;
    if (link === this.link) this.detach('the store names another owner');
  }

  private async readOwner(): Promise<string | undefined> {
    return (await this.readOwnerKey())?.address;
  }

  /** Returns undefined if the store can't be read. */
  private async readOwnerKey(): Promise<
    {readonly address?: string; readonly revision: number} | undefined
  > {
    const {store, ownerKey, decodeOwner, logger} = this.options;
    try {
      const {values, revision} = await store.list(ownerKey);
      const owner = values.find(({key}) => key === ownerKey);
      const address = owner && decodeOwner(owner.value)?.address;
      return {address, revision};
    } catch (error) {
      const reason = messageOf(error);
      logger.event(Events.OPERATOR_KEYS_STALE, {reason, keys: 'owner'});
      return undefined;
    }
  }

  private attachTo(address: string): void {
    const {links, clock, onAttached} = this.options;
    this.address = address;
    this.lastMessageAt = clock.now();
    this.isConfirmed = false;
    const link = links.openPool(address);
    this.link = link;
    this.attachment = link.attach({
      onMessage: commands => {
        if (link === this.link) this.applyCommands(commands);
      },
      onEnd: reason => {
        if (link === this.link) this.detach(reason);
      },
    });
    onAttached();
  }

  private applyCommands(commands: WorkerCommands): void {
    const {clock, logger, onCommands} = this.options;
    if (commands.epoch < this.highestEpoch) {
      this.detach('the owner was replaced');
      return;
    }
    this.highestEpoch = commands.epoch;
    this.lastMessageAt = clock.now();
    if (!this.isConfirmed) {
      this.isConfirmed = true;
      this.silentOwnerSearches = 0;
      this.silentAddress = '';
      logger.event(Events.OWNER_ATTACHED, {
        address: this.address,
        epoch: commands.epoch,
      });
      void this.readEntries(ENTRIES_REFRESH_MILLIS);
    }
    onCommands(commands);
  }

  private detach(reason: string): void {
    const {link, attachment} = this;
    if (!link) return;
    this.link = undefined;
    this.attachment = undefined;
    if (this.isConfirmed) {
      this.options.logger.event(Events.OWNER_LOST, {
        address: this.address,
        reason,
      });
    }
    attachment?.close(reason);
    link.close(reason);
  }

  /**
   * Reads the owner from the store, and waits for a change if it names none. If
   * the store can't be read, entries are queried; if it names the owner that
   * became silent, every other search queries them.
   */
  private async findOwner(): Promise<string | undefined> {
    const found = await this.readOwnerKey();
    const storedAddress = found?.address;
    const isOtherOwner =
      storedAddress !== undefined && storedAddress !== this.silentAddress;
    if (isOtherOwner || (storedAddress && this.silentOwnerSearches++ % 2 === 0))
      return storedAddress;
    if (found && storedAddress === undefined) {
      await this.awaitOwnerChange(found.revision);
      return undefined;
    }
    await this.readEntries(ENTRIES_READ_MILLIS);
    const address = (await this.queryEntries()) ?? storedAddress;
    if (address === undefined) await pause(this.options.clock, RETRY_MILLIS);
    return address;
  }

  private async awaitOwnerChange(revision: number): Promise<void> {
    const {store, ownerKey, clock, logger} = this.options;
    try {
      await store.changesAfter(ownerKey, revision, OWNER_WATCH_MILLIS);
    } catch (error) {
      const reason = messageOf(error);
      logger.event(Events.OPERATOR_KEYS_STALE, {reason, keys: 'owner'});
      await pause(clock, RETRY_MILLIS);
    }
  }

  /** Reads the entries unless they were read within the given time. */
  private async readEntries(recentMillis: number): Promise<void> {
    const {store, entryPrefix, decodeEntry, logger, clock} = this.options;
    if (clock.now() - this.entriesReadAt < recentMillis) return;
    try {
      const entries = await store.list(entryPrefix);
      this.entriesReadAt = clock.now();
      for (const {value} of entries.values) {
        const entry = decodeEntry(value);
        if (entry) this.entries.add(entry.address);
      }
    } catch (error) {
      const reason = messageOf(error);
      logger.event(Events.OPERATOR_KEYS_STALE, {reason, keys: 'entries'});
    }
  }

  private async queryEntries(): Promise<string | undefined> {
    const responses = await Promise.all(
      [...this.entries].map(address => this.queryEntry(address)),
    );
    let newest: {address: string; epoch: number} | undefined;
    for (const found of responses) {
      if (!found || found.address === '') continue;
      if (!newest || found.epoch > newest.epoch) newest = found;
    }
    return newest?.address;
  }

  private async queryEntry(
    address: string,
  ): Promise<{address: string; epoch: number} | undefined> {
    let link: PoolLink | undefined;
    try {
      link = this.options.links.openPool(address);
      return await link.findOwner();
    } catch {
      // The entry may have been removed; the others are queried too.
      return undefined;
    } finally {
      link?.close('owner query finished');
    }
  }
}

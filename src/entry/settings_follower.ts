import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import {listAll} from '../backends/list_all.js';
import type {Store, StoredValue} from '../backends/store.js';
import {SettingsView} from '../settings/settings_view.js';
import type {SettingsDocument} from '../settings/settings_types.js';
import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import {SETTINGS_PREFIX, readStoredBranch} from './settings_record.js';

const BRANCHES_PER_PAGE = 100;
const MAXIMUM_READS = 5;

/**
 * Keeps the settings in force equal to those in the store. One small read per
 * second finds changes or confirms that there are none. A watch would need that
 * read as well, since a watch on a broken connection looks like one that has no
 * changes to report.
 */
export class SettingsFollower {
  private busy = false;
  private unreachableSince: number | undefined;

  constructor(
    private readonly store: Store,
    private readonly view: SettingsView,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onApplied: () => void,
  ) {}

  /** Reads and applies the settings if any changed. Never rejects. */
  async refresh(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    try {
      await this.readChanges();
      this.recordReachable();
    } catch (error) {
      this.recordUnreachable(messageOf(error));
    } finally {
      this.busy = false;
    }
  }

  /** Applies documents that were read from the store or sent by a peer. */
  apply(documents: readonly SettingsDocument[]): void {
    let changed = false;
    for (const document of documents) {
      if (this.applyOne(document)) changed = true;
    }
    if (changed) this.onApplied();
  }

  private async readChanges(): Promise<void> {
    const sentAt = this.clock.now();
    const newest = await this.store.newest(SETTINGS_PREFIX);
    if (newest && newest.revision > this.view.revision) {
      await this.readAll(sentAt);
      return;
    }
    const ageMillis = this.clock.now() - sentAt;
    this.view.confirm(this.view.revision, this.clock.now(), ageMillis);
  }

  /**
   * Reads all branches in pages. If a branch changed between two pages, an
   * earlier change of a branch on a previous page may be missing; then all
   * branches are read again.
   */
  private async readAll(sentAt: number): Promise<void> {
    for (let reads = 0; reads < MAXIMUM_READS; reads++) {
      const {values, revision} = await listAll(
        this.store,
        SETTINGS_PREFIX,
        BRANCHES_PER_PAGE,
      );
      const documents = values.map(toDocument);
      if (documents.some(document => document.revision > revision)) continue;
      documents.sort((left, right) => left.revision - right.revision);
      this.apply(documents);
      const newest = documents.at(-1)?.revision ?? 0;
      const ageMillis = this.clock.now() - sentAt;
      this.view.confirm(newest, this.clock.now(), ageMillis);
      return;
    }
  }

  private applyOne(document: SettingsDocument): boolean {
    const result = this.view.apply(document);
    if (result === 'older') return false;
    const fields = {branch: document.branch, revision: document.revision};
    if (result === 'applied') {
      this.logger.event(Events.SETTINGS_APPLIED, fields);
      return true;
    }
    const faults = result.faults.map(fault => fault.message).join('; ');
    this.logger.event(Events.SETTINGS_REJECTED, {...fields, faults});
    return false;
  }

  private recordReachable(): void {
    if (this.unreachableSince === undefined) return;
    const outageMillis = this.clock.now() - this.unreachableSince;
    this.unreachableSince = undefined;
    this.logger.event(Events.STORE_BACK, {outageMillis});
  }

  private recordUnreachable(reason: string): void {
    if (this.unreachableSince !== undefined) return;
    this.unreachableSince = this.clock.now();
    this.logger.event(Events.STORE_UNREACHABLE, {reason});
  }
}

function toDocument(stored: StoredValue): SettingsDocument {
  const branch = stored.key.slice(SETTINGS_PREFIX.length);
  const record = readStoredBranch(stored.value);
  return {
    branch,
    revision: stored.revision,
    version: record.version,
    text: record.text,
  };
}

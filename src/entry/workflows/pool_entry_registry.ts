import type {TransactionalStore} from '../../backends/transactional_store.js';
import type {OwnerCandidate} from '../../decisions/workflows/owner_succession.js';
import {decodeEntry} from '../../protocol/owner_record.js';
import type {PoolLinkFactory} from '../../protocol/pool_links.js';
import {
  entryKey,
  lastKeySegment,
  StoreKeys,
} from '../../protocol/store_keys.js';

export interface PoolEntryRegistryOptions {
  readonly store: TransactionalStore;
  readonly links: PoolLinkFactory;
}

/** Registered entries; some of them may have ended. */
export class PoolEntryRegistry {
  constructor(private readonly options: PoolEntryRegistryOptions) {}

  /** Returns all entries that could own the pool; rejects on a store error. */
  async candidates(): Promise<OwnerCandidate[]> {
    const {values} = await this.options.store.list(StoreKeys.ENTRY_PREFIX);
    return values.flatMap(({key, value, revision}) => {
      const entry = decodeEntry(value);
      if (!entry) return [];
      const {capacity} = entry;
      const processName = lastKeySegment(key);
      return [{processName, capacity, startedAtRevision: revision}];
    });
  }

  /** True if the entry responds to a call now. */
  async isResponding(processName: string): Promise<boolean> {
    const {store, links} = this.options;
    const stored = await store.get(entryKey(processName));
    const entry = stored && decodeEntry(stored.value);
    if (!entry) return false;
    const link = links.openPool(entry.address);
    try {
      await link.findOwner();
      return true;
    } catch {
      // It may have ended; the next check may choose another entry.
      return false;
    } finally {
      link.close('liveness check of the entry is complete');
    }
  }
}

import type {Store, StoredValue} from './store.js';

/** All values under a prefix. */
export interface FullStoreList {
  readonly values: readonly StoredValue[];
  /** The store's revision at the first page; later pages may be newer. */
  readonly revision: number;
}

/** Lists a prefix in pages, so that the size of a reply is bounded. */
export async function listAll(
  store: Store,
  prefix: string,
  pageSize: number,
): Promise<FullStoreList> {
  const values: StoredValue[] = [];
  let revision: number | undefined;
  let afterKey: string | undefined;
  for (;;) {
    const page = await store.list(prefix, {afterKey, limit: pageSize});
    revision ??= page.revision;
    for (const value of page.values) values.push(value);
    if (!page.more) return {values, revision};
    afterKey = page.values.at(-1)?.key;
  }
}

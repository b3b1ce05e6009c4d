import type {Store, StoredValue} from './store.js';

/** All values under a prefix, and the store's revision at the first page. */
export interface FullListing {
  readonly values: readonly StoredValue[];
  /** Values of later pages may be newer. */
  readonly revision: number;
}

/** Lists a prefix page by page, so that no reply grows without bound. */
export async function listAll(
  store: Store,
  prefix: string,
  pageSize: number,
): Promise<FullListing> {
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

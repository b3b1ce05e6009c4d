/** Past this size no further item joins a batch. */
const BATCH_BYTES = 64 * 1024;

/** Something of a known size that waits to be sent. */
export interface SizedItem {
  readonly bytes: number;
}

/** Items in order of arrival, which leave in batches of a bounded size. */
export class BatchQueue<Item extends SizedItem> {
  private readonly items = new Set<Item>();
  private totalBytes = 0;

  get size(): number {
    return this.items.size;
  }

  get bytes(): number {
    return this.totalBytes;
  }

  add(item: Item): void {
    this.items.add(item);
    this.totalBytes += item.bytes;
  }

  /** Whether the item was still waiting. */
  remove(item: Item): boolean {
    const waited = this.items.delete(item);
    if (waited) this.totalBytes -= item.bytes;
    return waited;
  }

  /** Takes out the first items: at least one, then as many as fit. */
  takeBatch(): Item[] {
    const batch: Item[] = [];
    let bytes = 0;
    for (const item of this.items) {
      bytes += item.bytes;
      if (batch.length > 0 && bytes > BATCH_BYTES) break;
      batch.push(item);
    }
    for (const item of batch) this.remove(item);
    return batch;
  }

  takeAll(): Item[] {
    const all = [...this.items];
    this.items.clear();
    this.totalBytes = 0;
    return all;
  }
}

/** Maximum size of a batch; one larger item is sent alone. */
const MAXIMUM_BATCH_BYTES = 64 * 1024;

/** An item of known size that waits to be sent. */
export interface SizedItem {
  readonly bytes: number;
}

/** FIFO queue whose items are taken out in batches of a bounded size. */
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

  /** Returns true if the item was still in the queue. */
  remove(item: Item): boolean {
    const wasQueued = this.items.delete(item);
    if (wasQueued) this.totalBytes -= item.bytes;
    return wasQueued;
  }

  /** Removes and returns the first items: at least one, then as many as fit. */
  takeBatch(): Item[] {
    const batch: Item[] = [];
    let bytes = 0;
    for (const item of this.items) {
      bytes += item.bytes;
      if (batch.length > 0 && bytes > MAXIMUM_BATCH_BYTES) break;
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

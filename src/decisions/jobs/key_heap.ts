interface Entry<Item> {
  readonly key: number;
  readonly item: Item;
}

/** Minimum heap of items ordered by a numeric key, such as a time. */
export class KeyHeap<Item> {
  private readonly heap: Array<Entry<Item>> = [];

  get size(): number {
    return this.heap.length;
  }

  add(key: number, item: Item): void {
    const heap = this.heap;
    let index = heap.push({key, item}) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (heap[parent].key <= heap[index].key) return;
      [heap[index], heap[parent]] = [heap[parent], heap[index]];
      index = parent;
    }
  }

  /** Removes and returns the first item if its key is at most the limit. */
  removeFirst(limit = Infinity): Item | undefined {
    const first = this.heap[0];
    if (!first || first.key > limit) return undefined;
    const last = this.heap.pop();
    if (last && this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown();
    }
    return first.item;
  }

  private siftDown(): void {
    const heap = this.heap;
    let index = 0;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        const earlier = heap[child]?.key < heap[least].key;
        if (child < heap.length && earlier) least = child;
      }
      if (least === index) return;
      [heap[index], heap[least]] = [heap[least], heap[index]];
      index = least;
    }
  }
}

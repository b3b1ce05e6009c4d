interface Delayed<Item> {
  readonly dueMillis: number;
  readonly item: Item;
}

/** Items that wait for their time, earliest first. */
export class DelayQueue<Item> {
  private readonly heap: Array<Delayed<Item>> = [];

  get size(): number {
    return this.heap.length;
  }

  add(dueMillis: number, item: Item): void {
    const heap = this.heap;
    let index = heap.push({dueMillis, item}) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (heap[parent].dueMillis <= heap[index].dueMillis) return;
      [heap[index], heap[parent]] = [heap[parent], heap[index]];
      index = parent;
    }
  }

  /** Removes and returns the earliest item that is due. */
  takeDue(now: number): Item | undefined {
    const first = this.heap[0];
    if (!first || first.dueMillis > now) return undefined;
    const last = this.heap.pop();
    if (last && this.heap.length > 0) {
      this.heap[0] = last;
      this.sink();
    }
    return first.item;
  }

  private sink(): void {
    const heap = this.heap;
    let index = 0;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        const earlier = heap[child]?.dueMillis < heap[least].dueMillis;
        if (child < heap.length && earlier) least = child;
      }
      if (least === index) return;
      [heap[index], heap[least]] = [heap[least], heap[index]];
      index = least;
    }
  }
}

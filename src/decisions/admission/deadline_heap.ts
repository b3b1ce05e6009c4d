interface Entry {
  readonly id: string;
  readonly deadlineAt: number;
  index: number;
}

/** A binary heap of deadlines by id; every change takes O(log n). */
export class DeadlineHeap {
  private readonly heap: Entry[] = [];
  private readonly entries = new Map<string, Entry>();

  add(id: string, deadlineAt: number): void {
    this.remove(id);
    const entry = {id, deadlineAt, index: this.heap.length};
    this.entries.set(id, entry);
    this.heap.push(entry);
    this.moveUp(entry);
  }

  remove(id: string): void {
    const entry = this.entries.get(id);
    if (!entry) return;
    this.entries.delete(id);
    const last = this.heap.pop();
    if (!last || last === entry) return;
    this.place(last, entry.index);
    this.moveUp(last);
    this.moveDown(last);
  }

  /** Removes and returns the earliest id whose deadline has passed. */
  removeDue(now: number): string | undefined {
    const first = this.heap[0];
    if (!first || first.deadlineAt > now) return undefined;
    this.remove(first.id);
    return first.id;
  }

  nextDeadline(): number | undefined {
    return this.heap[0]?.deadlineAt;
  }

  private place(entry: Entry, index: number): void {
    this.heap[index] = entry;
    entry.index = index;
  }

  private moveUp(entry: Entry): void {
    while (entry.index > 0) {
      const parent = this.heap[(entry.index - 1) >> 1];
      if (parent.deadlineAt <= entry.deadlineAt) return;
      this.swap(entry, parent);
    }
  }

  private moveDown(entry: Entry): void {
    for (;;) {
      const left = this.heap[2 * entry.index + 1];
      const right = this.heap[2 * entry.index + 2];
      if (!left) return;
      const earliest =
        right && right.deadlineAt < left.deadlineAt ? right : left;
      if (earliest.deadlineAt >= entry.deadlineAt) return;
      this.swap(entry, earliest);
    }
  }

  private swap(left: Entry, right: Entry): void {
    const index = left.index;
    this.place(left, right.index);
    this.place(right, index);
  }
}

import type {Clock, Timer} from './clock.js';

/** An action waiting for its virtual time. */
class VirtualTimer implements Timer {
  cancelled = false;

  constructor(
    readonly dueMillis: number,
    readonly order: number,
    readonly action: () => void,
  ) {}

  cancel(): void {
    this.cancelled = true;
  }
}

/**
 * Time that moves only when it is told to. Actions run in order of their time,
 * those of equal time in order of scheduling, so that runs repeat exactly.
 */
export class VirtualClock implements Clock {
  private currentMillis = 0;
  private scheduled = 0;
  private readonly heap: VirtualTimer[] = [];

  now(): number {
    return this.currentMillis;
  }

  wallTime(): number {
    return this.currentMillis;
  }

  schedule(delayMillis: number, action: () => void): Timer {
    const due = this.currentMillis + Math.max(0, delayMillis);
    const timer = new VirtualTimer(due, this.scheduled++, action);
    this.insert(timer);
    return timer;
  }

  /** The time of the next action, or undefined when none waits. */
  nextDueMillis(): number | undefined {
    this.dropCancelled();
    return this.heap[0]?.dueMillis;
  }

  /** Moves to the next action and runs it; false when none is due by then. */
  runNext(untilMillis = Infinity): boolean {
    this.dropCancelled();
    const next = this.heap[0];
    if (!next || next.dueMillis > untilMillis) return false;
    this.removeFirst();
    this.currentMillis = Math.max(this.currentMillis, next.dueMillis);
    next.action();
    return true;
  }

  /** Runs all actions due until the time, which becomes the current one. */
  runUntil(untilMillis: number): void {
    while (this.runNext(untilMillis));
    this.currentMillis = Math.max(this.currentMillis, untilMillis);
  }

  /**
   * Like runUntil, but lets promises settle after each action, for classes
   * that await replies.
   */
  async settleUntil(untilMillis: number): Promise<void> {
    await settlePromises();
    while (this.runNext(untilMillis)) await settlePromises();
    this.currentMillis = Math.max(this.currentMillis, untilMillis);
  }

  private dropCancelled(): void {
    while (this.heap[0]?.cancelled) this.removeFirst();
  }

  private insert(timer: VirtualTimer): void {
    const heap = this.heap;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index], heap[parent])) return;
      [heap[index], heap[parent]] = [heap[parent], heap[index]];
      index = parent;
    }
  }

  private removeFirst(): void {
    const heap = this.heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    heap[0] = last;
    let index = 0;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < heap.length && isBefore(heap[child], heap[least])) {
          least = child;
        }
      }
      if (least === index) return;
      [heap[index], heap[least]] = [heap[least], heap[index]];
      index = least;
    }
  }
}

function isBefore(left: VirtualTimer, right: VirtualTimer): boolean {
  if (left.dueMillis !== right.dueMillis) {
    return left.dueMillis < right.dueMillis;
  }
  return left.order < right.order;
}

/** Resolves once the promise reactions that are already queued have run. */
function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

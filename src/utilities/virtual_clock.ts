import type {Clock, Timer} from './clock.js';

/** An action scheduledCount at a virtual time. */
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
 * A clock that advances only by calls. Actions run in order of their time, and
 * in order of scheduling at equal times, so that executions are deterministic.
 */
export class VirtualClock implements Clock {
  private currentMillis = 0;
  private scheduledCount = 0;
  private readonly heap: VirtualTimer[] = [];

  now(): number {
    return this.currentMillis;
  }

  wallTime(): number {
    return this.currentMillis;
  }

  schedule(delayMillis: number, action: () => void): Timer {
    const due = this.currentMillis + Math.max(0, delayMillis);
    const timer = new VirtualTimer(due, this.scheduledCount++, action);
    this.insert(timer);
    return timer;
  }

  /** Returns the time of the next action, or undefined if there is none. */
  nextDueMillis(): number | undefined {
    this.dropCancelled();
    return this.heap[0]?.dueMillis;
  }

  /**
   * Advances to the next action and runs it. Returns false if no action is due
   * by `untilMillis`.
   */
  runNext(untilMillis = Infinity): boolean {
    this.dropCancelled();
    const next = this.heap[0];
    if (!next || next.dueMillis > untilMillis) return false;
    this.removeFirst();
    this.currentMillis = Math.max(this.currentMillis, next.dueMillis);
    next.action();
    return true;
  }

  /** Runs all actions due by the time and advances the clock to it. */
  runUntil(untilMillis: number): void {
    while (this.runNext(untilMillis));
    this.currentMillis = Math.max(this.currentMillis, untilMillis);
  }

  /**
   * Like runUntil, but lets promises settle after each action, for code that
   * awaits replies.
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
      let smallest = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < heap.length && isBefore(heap[child], heap[smallest])) {
          smallest = child;
        }
      }
      if (smallest === index) return;
      [heap[index], heap[smallest]] = [heap[smallest], heap[index]];
      index = smallest;
    }
  }
}

function isBefore(left: VirtualTimer, right: VirtualTimer): boolean {
  if (left.dueMillis !== right.dueMillis) {
    return left.dueMillis < right.dueMillis;
  }
  return left.order < right.order;
}

/** Resolves after the promise reactions that are already queued have run. */
function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

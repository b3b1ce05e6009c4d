import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import {DeadlineHeap} from './deadline_heap.js';
import {HoldingTime} from './holding_time.js';

/** Time after which a caller of a draining upstream may retry. */
const DRAINING_RETRY_AFTER_MILLIS = 100;
const MINIMUM_RETRY_AFTER_MILLIS = 5;
/** Maximum share of the remaining time that is reserved for execution. */
const MAXIMUM_HOLDING_SHARE = 0.9;

export interface SlotItem<T> {
  readonly id: string;
  /** Time on the caller's clock after which the response is useless. */
  readonly deadlineAt: number;
  readonly value: T;
}

export type SlotDecision =
  | {readonly kind: 'run'}
  | {readonly kind: 'queued'}
  | {
      readonly kind: 'refused';
      readonly code: ResultCode;
      readonly retryAfterMillis: number;
    };

export interface SlotCapacity {
  /** Maximum number of requests that the executor runs at a time. */
  readonly slots: number;
  /** Maximum number of requests running or queued at a time. */
  readonly connections: number;
}

/** Queued requests to run or reject after a slot became free. */
export interface SlotRelease<T> {
  /** Requests to run now, in this order. */
  readonly run: Array<SlotItem<T>>;
  /** Requests whose deadline passed in the queue; they are not run. */
  readonly expired: Array<SlotItem<T>>;
}

/**
 * FIFO queue of one executor, with deadlines. Refuses requests immediately if
 * they are not expected to end in time.
 */
export class SlotQueue<T> {
  private slots: number;
  private connections: number;
  private stopping = false;
  /** Start time by request id, oldest first. */
  private readonly running = new Map<string, number>();
  /** Queued requests by id, in order of arrival. */
  private readonly waiting = new Map<string, SlotItem<T>>();
  private readonly deadlines = new DeadlineHeap();
  private readonly holdingTime = new HoldingTime();

  constructor({slots, connections}: SlotCapacity) {
    this.slots = slots;
    this.connections = connections;
  }

  /** Decides on a new request; one to be run or queued counts immediately. */
  offer(item: SlotItem<T>, now: number): SlotDecision {
    this.holdingTime.observe(now);
    if (this.stopping) {
      return refused(
        ResultCodes.UPSTREAM_DRAINING,
        DRAINING_RETRY_AFTER_MILLIS,
      );
    }
    if (item.deadlineAt <= now) {
      return refused(ResultCodes.DEADLINE_PASSED, MINIMUM_RETRY_AFTER_MILLIS);
    }
    if (this.hasFreeSlot()) {
      this.start(item.id, now);
      return {kind: 'run'};
    }
    if (!this.isInTime(item, now)) {
      return refused(ResultCodes.QUEUE_FULL, this.retryAfterMillis());
    }
    this.waiting.set(item.id, item);
    this.deadlines.add(item.id, item.deadlineAt);
    return {kind: 'queued'};
  }

  /**
   * Ends a running request that held its slot for the given duration. An id
   * that isn't running frees no slot.
   */
  release(id: string, heldMillis: number, now: number): SlotRelease<T> {
    if (this.running.delete(id)) this.holdingTime.ended(heldMillis);
    this.holdingTime.observe(now);
    const expired = this.expire(now);
    return {run: this.startWaiting(now), expired};
  }

  /** Removes and returns the queued requests whose deadline passed. */
  expire(now: number): Array<SlotItem<T>> {
    const expired: Array<SlotItem<T>> = [];
    for (;;) {
      const due = this.deadlines.removeDue(now);
      if (due === undefined) return expired;
      const item = this.waiting.get(due);
      if (!item) continue;
      this.waiting.delete(due);
      expired.push(item);
    }
  }

  /** Removes a request whose caller disconnected; false if not queued. */
  remove(id: string): boolean {
    if (!this.waiting.delete(id)) return false;
    this.deadlines.remove(id);
    return true;
  }

  /** Running requests above a smaller capacity continue; fewer are accepted. */
  setCapacity({slots, connections}: SlotCapacity): void {
    this.slots = slots;
    this.connections = connections;
  }

  /** Refuses new requests; those already accepted still run. */
  drain(): void {
    this.stopping = true;
  }

  /** Returns the earliest deadline of a queued request. */
  nextDeadline(): number | undefined {
    return this.deadlines.nextDeadline();
  }

  get inFlight(): number {
    return this.running.size;
  }

  get queued(): number {
    return this.waiting.size;
  }

  get draining(): boolean {
    return this.stopping;
  }

  /** Smoothed time that a request holds a slot; 0 while unknown. */
  get serviceMillis(): number {
    return this.holdingTime.expectedMillis(this.halfStartedBy());
  }

  /** Returns the expected time until a new request gets a slot. */
  expectedWaitMillis(): number {
    if (this.hasFreeSlot()) return 0;
    if (this.slots === 0) return Infinity;
    const ahead = this.running.size + this.waiting.size - this.slots + 1;
    return (ahead * this.serviceMillis) / this.slots;
  }

  /**
   * Returns the time by which more than half of the running requests had
   * started; undefined if fewer than two run.
   */
  private halfStartedBy(): number | undefined {
    if (this.running.size < 2) return undefined;
    let left = Math.floor(this.running.size / 2);
    for (const startedAt of this.running.values()) {
      if (left === 0) return startedAt;
      left--;
    }
    return undefined;
  }

  private hasFreeSlot(): boolean {
    return this.waiting.size === 0 && this.running.size < this.slots;
  }

  private isInTime(item: SlotItem<T>, now: number): boolean {
    const accepted = this.running.size + this.waiting.size;
    if (accepted >= this.connections) return false;
    const leftMillis = item.deadlineAt - now;
    const holdMillis = Math.min(
      this.holdingTime.longMillis(),
      leftMillis * MAXIMUM_HOLDING_SHARE,
    );
    return this.expectedWaitMillis() + holdMillis <= leftMillis;
  }

  private retryAfterMillis(): number {
    const wait = this.expectedWaitMillis();
    if (!Number.isFinite(wait)) return DRAINING_RETRY_AFTER_MILLIS;
    return Math.max(MINIMUM_RETRY_AFTER_MILLIS, Math.ceil(wait / 2));
  }

  private start(id: string, now: number): void {
    this.running.set(id, now);
    this.holdingTime.observe(now);
  }

  private startWaiting(now: number): Array<SlotItem<T>> {
    const run: Array<SlotItem<T>> = [];
    for (const item of this.waiting.values()) {
      if (this.running.size >= this.slots) break;
      this.remove(item.id);
      this.start(item.id, now);
      run.push(item);
    }
    return run;
  }
}

function refused(code: ResultCode, retryAfterMillis: number): SlotDecision {
  return {kind: 'refused', code, retryAfterMillis};
}

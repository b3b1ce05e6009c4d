import type {Clock, Timer} from './clock.js';

export interface CoalescedActionOptions {
  readonly clock: Clock;
  /** Maximum share of time spent in the action, above 0 and up to 1. */
  readonly maximumShare: number;
  readonly action: () => void;
}

/**
 * Maximum delay after a run of the action. A run long enough to exceed it was
 * most likely suspended rather than busy.
 */
const MAXIMUM_DELAY_MILLIS = 300;

/**
 * Runs an action soon after it is scheduled and coalesces requests made in the
 * meantime. After a run, the next one is delayed in proportion to the run's
 * duration, so that the rest of the process gets its share of processor time
 * however often the action is scheduled.
 */
export class CoalescedAction {
  private isScheduled = false;
  private nextRunAt = -Infinity;
  private timer: Timer | undefined;
  private isClosed = false;

  constructor(private readonly options: CoalescedActionOptions) {}

  schedule(): void {
    if (this.isScheduled || this.isClosed) return;
    this.isScheduled = true;
    const {clock} = this.options;
    const waitMillis = this.nextRunAt - clock.now();
    if (waitMillis <= 0) setImmediate(() => this.run());
    else this.timer = clock.schedule(waitMillis, () => this.run());
  }

  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
  }

  private run(): void {
    this.isScheduled = false;
    if (this.isClosed) return;
    const {clock, maximumShare, action} = this.options;
    const startedAt = clock.now();
    try {
      action();
    } finally {
      const endedAt = clock.now();
      const delayMillis = (endedAt - startedAt) * (1 / maximumShare - 1);
      this.nextRunAt = endedAt + Math.min(delayMillis, MAXIMUM_DELAY_MILLIS);
    }
  }
}

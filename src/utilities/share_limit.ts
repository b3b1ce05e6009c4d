import type {Clock} from './clock.js';

/** Limits the share of time that an optional action takes from others. */
export class ShareLimit {
  private nextAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** From 0 (exclusive) to 1. */
    private readonly maximumShare: number,
  ) {}

  /** Runs the action; undefined if it would exceed the share now. */
  run<Result>(action: () => Result): Result | undefined {
    const startedAt = this.clock.now();
    if (startedAt < this.nextAt) return undefined;
    const result = action();
    const tookMillis = this.clock.now() - startedAt;
    this.nextAt = startedAt + tookMillis / this.maximumShare;
    return result;
  }
}

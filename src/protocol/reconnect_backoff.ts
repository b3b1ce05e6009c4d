import type {Clock} from '../utilities/clock.js';
import type {Random} from '../utilities/random.js';

const INITIAL_DELAY_MILLIS = 100;
const MAXIMUM_DELAY_MILLIS = 2_000;
const DELAY_JITTER = 0.2;

/** Exponential backoff with jitter for reopening a failed stream. */
export class ReconnectBackoff {
  private failures = 0;
  private retryAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  get isWaiting(): boolean {
    return this.clock.now() < this.retryAt;
  }

  recordFailure(): void {
    const doubled = INITIAL_DELAY_MILLIS * 2 ** this.failures;
    const delay = Math.min(MAXIMUM_DELAY_MILLIS, doubled);
    this.failures += 1;
    this.retryAt = this.clock.now() + this.random.jitter(delay, DELAY_JITTER);
  }

  recordSuccess(): void {
    this.failures = 0;
    this.retryAt = -Infinity;
  }
}

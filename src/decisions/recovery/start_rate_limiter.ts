export interface StartPacerOptions {
  /** Sustained rate of placements. */
  readonly startsPerSecond?: number;
  /** Placements allowed at once after an idle period. */
  readonly burst?: number;
  /** Starts on one VM that its agent has not confirmed yet. */
  readonly unconfirmedPerVm?: number;
}

const STARTS_PER_SECOND = 200;
const BURST = 100;
const UNCONFIRMED_PER_VM = 8;

/** Token bucket that limits placements, so that no VM is overloaded. */
export class StartRateLimiter {
  readonly unconfirmedPerVm: number;
  private readonly startsPerSecond: number;
  private readonly burst: number;
  private tokens: number;
  private filledAt = 0;

  constructor(options: StartPacerOptions = {}) {
    this.startsPerSecond = options.startsPerSecond ?? STARTS_PER_SECOND;
    this.burst = options.burst ?? BURST;
    this.unconfirmedPerVm = options.unconfirmedPerVm ?? UNCONFIRMED_PER_VM;
    this.tokens = this.burst;
  }

  /** Returns the number of tasks that may be placed now. */
  available(now: number): number {
    const passed = Math.max(0, now - this.filledAt);
    const filled = this.tokens + (passed * this.startsPerSecond) / 1000;
    this.tokens = Math.min(this.burst, filled);
    this.filledAt = now;
    return Math.floor(this.tokens);
  }

  /** Called for urgent tasks too, which are counted but never delayed. */
  take(): void {
    this.tokens--;
  }
}

export interface StartPacerOptions {
  /** Placements a second over a long time. */
  readonly startsPerSecond?: number;
  /** Placements at once after a quiet time. */
  readonly burst?: number;
  /** Starts of a VM that its agent has not confirmed. */
  readonly unconfirmedPerVm?: number;
}

const STARTS_PER_SECOND = 200;
const BURST = 100;
const UNCONFIRMED_PER_VM = 8;

/** Spreads a wave of placements over time, so that no VM is swamped. */
export class StartPacer {
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

  /** How many tasks may be placed now. */
  available(now: number): number {
    const passed = Math.max(0, now - this.filledAt);
    const filled = this.tokens + (passed * this.startsPerSecond) / 1000;
    this.tokens = Math.min(this.burst, filled);
    this.filledAt = now;
    return Math.floor(this.tokens);
  }

  /** Urgent tasks are counted too, but never wait. */
  take(): void {
    this.tokens--;
  }
}

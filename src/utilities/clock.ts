/** Time as the decisions and the processes see it. */

/** A scheduled action that has not run yet. */
export interface Timer {
  /** Forgets the action; harmless once it has run. */
  cancel(): void;
}

/** A source of time. Tests and the bench put virtual time in its place. */
export interface Clock {
  /** Monotonic time in milliseconds; its zero is arbitrary. */
  now(): number;
  /** Calendar time in milliseconds since 1970, for people only. */
  wallTime(): number;
  /** Runs the action once, after the delay in milliseconds. */
  schedule(delayMillis: number, action: () => void): Timer;
}

/** The machine's own clock. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }

  schedule(delayMillis: number, action: () => void): Timer {
    const handle = setTimeout(action, delayMillis);
    return {cancel: () => clearTimeout(handle)};
  }
}

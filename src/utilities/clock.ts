/** The clock interface that all components use to read time and set timers. */

/** A scheduled action that has not run yet. */
export interface Timer {
  /** Cancels the action; has no effect once it has run. */
  cancel(): void;
}

/** A source of time. Tests and benchmarks use a virtual clock instead. */
export interface Clock {
  /** Monotonic time in milliseconds from an arbitrary origin. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970; may jump either way. */
  wallTime(): number;
  /** Runs the action once, after the delay in milliseconds. */
  schedule(delayMillis: number, action: () => void): Timer;
}

/** The clock of the machine. */
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

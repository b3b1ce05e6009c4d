/**
 * Optional parts of the scheduler. Each is off unless the settings of the
 * process turn it on; without it, decisions and messages are unchanged.
 */
export interface SchedulingFeatures {
  /** Limits the runs beside a latency-critical image while a pair is unknown. */
  readonly probes: boolean;
  /** Keeps the learned interference of images in the store for a new owner. */
  readonly sharedInterference: boolean;
  /** Orders workflows by learned durations in place of callers' estimates. */
  readonly learnedDurations: boolean;
  /** Starts copies of slow tasks of steps that allow it. */
  readonly copies: boolean;
  /** Reserves workers for large tasks that wait for a gap. */
  readonly reservations: boolean;
  /** Refuses best-effort workflows that would have no value when they end. */
  readonly admission: boolean;
}

export const NO_SCHEDULING_FEATURES: SchedulingFeatures = {
  probes: false,
  sharedInterference: false,
  learnedDurations: false,
  copies: false,
  reservations: false,
  admission: false,
};

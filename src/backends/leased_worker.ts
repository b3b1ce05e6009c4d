/** A worker whose runs continue while one lease for all of them is renewed. */

/** Start time of an incarnation whose worker does not report it. */
export const UNKNOWN_START = 0;

/** The way a run ended on its worker. */
export const RunOutcome = {
  DONE: 'done',
  /** An error of the run or of the worker. */
  FAILED: 'failed',
  STOPPED: 'stopped',
  /** The worker's lease expired. */
  LAPSED: 'lapsed',
  /** Another member of its gang ended. */
  BROKEN: 'broken',
  /** The other members of its gang did not start in time. */
  ALONE: 'alone',
} as const;
export type RunOutcome = (typeof RunOutcome)[keyof typeof RunOutcome];

/** A run in progress on the worker. */
export interface WorkerRun {
  readonly task: string;
  readonly run: number;
  /** Empty if the run has no checkpoint. */
  readonly checkpoint: string;
  /** Progress; of a long-running task: 100 while it is working. */
  readonly percent: number;
  /**
   * Tail latency in milliseconds of a latency-critical task, processors of any
   * other.
   */
  readonly measure: number;
}

/** The end of a run, reported until its number is acknowledged. */
export interface WorkerRunEnd {
  /** Sequence number of the end within an incarnation, from 1. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
}

/** A worker lists no more ends at a time; the others follow in order. */
export const MAXIMUM_LISTED_ENDS = 500;

/** A worker's list of runs, with the reading of its clock at that time. */
export interface WorkerRunList {
  /** Milliseconds on the worker's monotonic clock. */
  readonly workerClock: number;
  /** Start time of this incarnation, if the worker reports it. */
  readonly workerStartedAt?: number;
  readonly running: readonly WorkerRun[];
  readonly ends: readonly WorkerRunEnd[];
}

/**
 * True if the run list is of the incarnation that the report names, as far as
 * both tell: a worker may restart under its id.
 */
export function isListOf(
  {workerStartedAt}: WorkerRunList,
  {startedAt}: WorkerReport,
): boolean {
  if (workerStartedAt === undefined || startedAt === UNKNOWN_START) return true;
  return workerStartedAt === startedAt;
}

/** The reason for which a worker is guaranteed not to have started a run. */
export const StartRefusal = {
  /** A later agent, or the same one with a higher token, has called since. */
  FENCED: 'fence',
  /** A run with this number or a higher one was stopped or has ended. */
  CLOSED: 'old',
  /** The lease given with the start had expired. */
  LEASE_ENDED: 'late',
  NO_ROOM: 'room',
  /** The ticket is not valid. */
  TICKET: 'ticket',
  /** The worker is unhealthy or could not read the call. */
  REJECTED: 'rejected',
  /** Another incarnation of the worker responds at the address. */
  REPLACED: 'replaced',
} as const;
export type StartRefusal = (typeof StartRefusal)[keyof typeof StartRefusal];

export interface WorkerStart {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly checkpoint: string;
  readonly ticket: string;
  /** End of the lease of all runs, on the worker's clock. */
  readonly leaseEnd: number;
  readonly fencingToken: number;
}

export interface WorkerStop {
  readonly task: string;
  readonly run: number;
  readonly fencingToken: number;
}

export interface WorkerPace extends WorkerStop {
  /** Allowed processor share, from 0 to 100. */
  readonly percent: number;
}

export interface WorkerPoll {
  readonly fencingToken: number;
  /** The worker removes the ends up to this number from its list. */
  readonly acknowledgedEnd: number;
  /** New end of the lease, on the worker's clock. */
  readonly leaseEnd?: number;
  /** Maximum time that the worker waits for an end before it responds. */
  readonly waitMillis?: number;
}

/**
 * Calls to one incarnation of a worker. They reject with a
 * WorkerUnavailableError without a response; the call may still take effect
 * seconds later, after newer calls. They reject with a WorkerRefusedError if the
 * worker did nothing.
 */
export interface LeasedWorker {
  /**
   * Number of connections to the worker that have ended, but for idle ones that
   * were closed on this side. It rises before a new incarnation can respond, as
   * a restart ends all connections.
   */
  readonly endedConnections: number;
  /** Resolves to undefined if the worker accepted the run. */
  start(start: WorkerStart): Promise<StartRefusal | undefined>;
  stop(stop: WorkerStop): Promise<void>;
  pace(pace: WorkerPace): Promise<void>;
  pollRuns(hold: WorkerPoll): Promise<WorkerRunList>;
  close(reason: string): void;
}

/** A description of a worker, as the worker publishes it. */
export interface WorkerReport {
  readonly id: string;
  /** Name of the incarnation, from the worker id and the start time. */
  readonly incarnation: string;
  readonly startedAt: number;
  readonly sequence: number;
  readonly service: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly draining: boolean;
  readonly remainingMillis: number;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly room: {
    readonly milliprocessors: number;
    readonly memoryMegabytes: number;
    readonly accelerators: number;
  };
}

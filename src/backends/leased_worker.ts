/** A worker whose runs go on for as long as one lease is renewed. */

/** How a run ended at its worker. */
export const RunOutcome = {
  DONE: 'done',
  /** By its own fault or the worker's. */
  FAILED: 'failed',
  STOPPED: 'stopped',
  /** The lease of the worker had ended. */
  LAPSED: 'lapsed',
  /** Another member of its gang had ended. */
  BROKEN: 'broken',
  /** The other members of its gang did not come in time. */
  ALONE: 'alone',
} as const;
export type RunOutcome = (typeof RunOutcome)[keyof typeof RunOutcome];

/** A run that the worker has. */
export interface WorkerRun {
  readonly task: string;
  readonly run: number;
  /** Empty if there is none. */
  readonly checkpoint: string;
  /** Share of the work done; of a lasting task: 100 while it is at work. */
  readonly percent: number;
  /** Tail latency in milliseconds of a task that serves, else processors. */
  readonly measure: number;
}

/** A run that has ended; listed until its number is acknowledged. */
export interface WorkerRunEnd {
  /** Counts the ends of one incarnation from 1. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
}

/** What a worker lists, with its own clock at that moment. */
export interface WorkerListing {
  /** Milliseconds on the worker's steady clock. */
  readonly workerClock: number;
  /** Start of this life of the worker, if it says so. */
  readonly bornAt?: number;
  readonly running: readonly WorkerRun[];
  readonly ends: readonly WorkerRunEnd[];
}

/** Why a worker surely did not begin a run. */
export const StartRefusal = {
  /** A later agent, or the same with a later token, has called since. */
  FENCED: 'fence',
  /** A run with this number or a higher one was stopped or has ended there. */
  CLOSED: 'old',
  /** The lease that came with the start had ended. */
  LEASE_ENDED: 'late',
  NO_ROOM: 'room',
  /** The ticket is not valid. */
  TICKET: 'ticket',
  /** The worker is unhealthy or could not read the order. */
  REJECTED: 'rejected',
  /** Another incarnation answers at the address. */
  REPLACED: 'replaced',
} as const;
export type StartRefusal = (typeof StartRefusal)[keyof typeof StartRefusal];

export interface WorkerStart {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly checkpoint: string;
  readonly ticket: string;
  /** End of the lease on the worker's clock; also covers all other runs. */
  readonly leaseEnd: number;
  readonly fencingToken: number;
}

export interface WorkerStop {
  readonly task: string;
  readonly run: number;
  readonly fencingToken: number;
}

export interface WorkerPace extends WorkerStop {
  /** 0 to 100 */
  readonly percent: number;
}

export interface WorkerHold {
  readonly fencingToken: number;
  /** Ends up to this number are forgotten by the worker. */
  readonly acknowledgedEnd: number;
  /** Prolongs the lease, on the worker's clock. */
  readonly leaseEnd?: number;
  /** How long the answer may wait for an end, in milliseconds. */
  readonly waitMillis?: number;
}

/**
 * Calls to one incarnation of a worker. They reject with a
 * WorkerUnavailableError when no answer came; the call may then be carried out
 * seconds later, after newer ones. They reject with a WorkerRefusedError when
 * the worker did nothing.
 */
export interface LeasedWorker {
  /** Resolves to undefined when the worker has the run. */
  start(start: WorkerStart): Promise<StartRefusal | undefined>;
  stop(stop: WorkerStop): Promise<void>;
  pace(pace: WorkerPace): Promise<void>;
  hold(hold: WorkerHold): Promise<WorkerListing>;
  close(reason: string): void;
}

/** What a worker says of itself. */
export interface WorkerReport {
  readonly id: string;
  /** Name of this life: the id and when it began. */
  readonly incarnation: string;
  readonly bornAt: number;
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

/** The explanation of a placement, as entries and the tool exchange it. */
import type {PlacementObstacle} from '../placement_obstacle.js';

/** The waiting step for which a worker is reserved. */
export interface ReservationNote {
  /** Workflow and step, as `ID.STEP`. */
  readonly holder: string;
  readonly endsInMillis: number;
}

/** How admission would refuse the workflow now. */
export interface RefusalNote {
  readonly status: number;
  readonly retryAfterSeconds: number;
  readonly reason: string;
}

export interface RankedWorker {
  /** Agent and incarnation. */
  readonly worker: string;
  readonly failureDomain: string;
  readonly rack: string;
  /** Tasks of the step that would be placed here. */
  readonly tasks: number;
  /** Score for the first task; absent if the worker is ruled out. */
  readonly score?: number;
  readonly obstacle?: PlacementObstacle;
  /** The worker's rack is not that of the data or of the other tasks. */
  readonly isOnOtherRack: boolean;
  readonly heardMillisAgo: number;
  readonly reservation?: ReservationNote;
}

/** Key of the workers that are not ruled out, in counts by obstacle. */
export const SUITABLE = 'suitable';

/** Numbers of workers by obstacle, or `SUITABLE`. */
export type WorkerCounts = Readonly<Record<string, number>>;

export const WaitKind = {
  /** Earlier steps must be done first. */
  STEPS: 'steps',
  /** Some tasks find no worker. */
  WORKERS: 'workers',
  /** The tasks of a gang do not all find a worker at once. */
  GANG: 'gang',
} as const;
export type WaitKind = (typeof WaitKind)[keyof typeof WaitKind];

/** What the tasks of a step that are not placed wait for. */
export interface StepWait {
  readonly kind: WaitKind;
  /** Steps that must be done first; empty for other kinds. */
  readonly steps: readonly number[];
  /** All workers, as the first task that is not placed finds them. */
  readonly workers: WorkerCounts;
}

export interface StepExplanation {
  readonly step: number;
  readonly tasks: number;
  readonly placedTasks: number;
  /** Absent if all tasks would be placed. */
  readonly waitsFor?: StepWait;
  /** The best workers first; those of other services last. */
  readonly ranked: readonly RankedWorker[];
  /** Workers that are not in `ranked`. */
  readonly notRanked: WorkerCounts;
  /** Tasks that would be placed on workers that are not in `ranked`. */
  readonly tasksNotRanked: number;
}

export interface PlacementExplanation {
  readonly queue: string;
  readonly service: string;
  readonly priority: number;
  /** Calendar time of the explanation, in milliseconds since 1970. */
  readonly wallMillis: number;
  /** Age of the oldest last message of a worker that may be used. */
  readonly stateAgeMillis: number;
  readonly usableWorkers: number;
  readonly unusableWorkers: number;
  readonly steps: readonly StepExplanation[];
  /** Absent if the workflow would be accepted. */
  readonly refusal?: RefusalNote;
}

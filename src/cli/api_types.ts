/** Responses of the entries' HTTP API, limited to the fields the tool uses. */

export interface SettingsBranch {
  readonly branch: string;
  /** 0 for a branch that doesn't exist yet. */
  readonly revision: number;
  readonly version: number;
  readonly author: string;
  /** Milliseconds since 1970. */
  readonly wallTime: number;
  readonly text: string;
}

export interface SettingsHistory {
  readonly branch: string;
  readonly versions: ReadonlyArray<
    Pick<SettingsBranch, 'version' | 'author' | 'wallTime' | 'text'>
  >;
}

export interface SettingsStatus {
  readonly revision: number;
  readonly processes: readonly ProcessStatus[];
}

export interface ProcessStatus {
  readonly processId: string;
  readonly role: string;
  readonly settingsRevision: number;
  readonly ageMillis: number;
}

/** Body of the response to a change that was based on an old revision. */
export interface SettingsConflict {
  readonly message: string;
  readonly current: Pick<
    SettingsBranch,
    'revision' | 'version' | 'author' | 'text'
  >;
  readonly proposed: {readonly text: string};
}

export interface FailureDomain {
  readonly name: string;
  readonly out: boolean;
  readonly vms: number;
}

interface VmSize {
  readonly milliprocessors: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}

export interface Vm {
  readonly vm: string;
  readonly failureDomain: string;
  readonly failureDomainOut: boolean;
  readonly rack: string;
  readonly capacity?: VmSize;
  readonly committed?: VmSize;
  readonly runningAttempts: number;
  readonly drained: boolean;
  readonly stopping: boolean;
  readonly recovering: boolean;
  readonly silentMillis: number;
}

export interface Service {
  readonly service: string;
  readonly upstreams: readonly Upstream[];
}

export interface Upstream {
  readonly vm: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly tailMillis: number;
  readonly draining: boolean;
  readonly unavailable: boolean;
}

export interface Task {
  readonly task: number;
  readonly phase: string;
  readonly attempts: number;
  readonly failures: number;
  readonly vm: string;
  readonly result: string;
  readonly reason: string;
}

export interface Job {
  readonly team: string;
  readonly name: string;
  readonly kind: string;
  readonly urgency: string;
  readonly phase: string;
  readonly counts: Readonly<Record<string, number>>;
  readonly submittedWallTime: number;
  readonly closedWallTime: number;
  readonly cancelReason?: string;
  readonly confirmedBy?: string;
  readonly tasks: readonly Task[];
}

export interface JobExplanation {
  readonly team: string;
  readonly name: string;
  readonly phase: string;
  readonly summary: string;
  readonly history: ReadonlyArray<{
    readonly wallTime: number;
    readonly text: string;
  }>;
}

/** Numbers of workers by what rules them out, or `suitable`. */
export type WorkerCounts = Readonly<Record<string, number>>;

export interface StepWait {
  readonly kind: 'steps' | 'workers' | 'gang';
  readonly steps: readonly number[];
  readonly workers: WorkerCounts;
}

export interface StepPlacement {
  readonly step: number;
  readonly tasks: number;
  readonly placedTasks: number;
  readonly waitsFor?: StepWait;
  readonly ranked: ReadonlyArray<{
    readonly worker: string;
    readonly failureDomain: string;
    readonly rack: string;
    readonly tasks: number;
    readonly score?: number;
    readonly obstacle?: string;
    readonly isOnOtherRack: boolean;
    readonly heardMillisAgo: number;
    readonly reservation?: {
      readonly holder: string;
      readonly endsInMillis: number;
    };
  }>;
  readonly notRanked: WorkerCounts;
  readonly tasksNotRanked: number;
}

export interface PlacementExplanation {
  readonly queue: string;
  readonly service: string;
  readonly priority: number;
  readonly stateAgeMillis: number;
  readonly usableWorkers: number;
  readonly unusableWorkers: number;
  readonly steps: readonly StepPlacement[];
  readonly refusal?: {
    readonly status: number;
    readonly retryAfterSeconds: number;
    readonly reason: string;
  };
}

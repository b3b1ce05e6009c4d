import type {Resources} from '../../src/utilities/resources.js';

/** What the stand-ins, callers and operators saw, in one monotonic order. */

/** A task of a job; its attempts share this name. */
export interface TaskName {
  readonly team: string;
  readonly job: string;
  readonly task: number;
}

/** What a worker did with one attempt. */
interface TaskObservation<Type extends string> {
  readonly type: Type;
  readonly vm: string;
  readonly name: TaskName;
  readonly attempt: number;
  readonly size: Resources;
  /** Work done so far, in milliseconds. */
  readonly doneMillis: number;
}

export type Observation =
  | {
      readonly type: 'workerUp';
      readonly vm: string;
      readonly failureDomain: string;
      readonly capacity: Resources;
    }
  /** The VM is gone, and with it all that it ran. */
  | {readonly type: 'vmLost'; readonly vm: string}
  | TaskObservation<'taskStart'>
  | TaskObservation<'taskFinish'>
  | TaskObservation<'taskFail'>
  | TaskObservation<'taskLapse'>
  | TaskObservation<'taskStop'>
  /** The store holds the end of an attempt. */
  | {
      readonly type: 'attemptClosed';
      readonly name: TaskName;
      readonly attempt: number;
      readonly outcome: string;
      readonly checkpointMillis: number;
    }
  | {
      readonly type: 'jobDeclared';
      readonly team: string;
      readonly job: string;
      readonly idempotent: boolean;
      readonly tasks: number;
    }
  /** A submission was refused as not done. */
  | {readonly type: 'jobRefused'; readonly team: string; readonly job: string}
  /** How the job stood when the run was over. */
  | {
      readonly type: 'jobAtEnd';
      readonly team: string;
      readonly job: string;
      readonly phase: string;
      readonly summary: string;
    }
  | {
      readonly type: 'invoke';
      readonly requestId: string;
      readonly idempotent: boolean;
      readonly body: string;
    }
  | {
      readonly type: 'response';
      readonly requestId: string;
      readonly outcome: 'answered' | 'notRun' | 'unknown';
      readonly body: string;
    }
  | {
      readonly type: 'executorBegin' | 'executorEnd';
      readonly vm: string;
      readonly requestId: string;
    }
  /** The store holds a settings text that takes the domain out, or not. */
  | {
      readonly type: 'settingsAccepted';
      readonly branch: string;
      readonly revision: number;
      readonly domainsOut: readonly string[];
    }
  | {
      readonly type: 'settingsInForce';
      readonly process: string;
      /** Grows with each restart of the process. */
      readonly run: number;
      readonly revision: number;
    }
  | {
      readonly type: 'processUp' | 'processDown';
      readonly process: string;
      readonly run: number;
    }
  | {
      readonly type: 'shutdownBegin' | 'shutdownEnd';
      readonly process: string;
      /** The VM whose upstream it is; empty for an entry. */
      readonly vm: string;
    }
  | {
      readonly type: 'faultBegin' | 'faultEnd';
      readonly fault: string;
      readonly process: string;
    };

/** An observation with its place in the one order. */
export type HistoryEvent = Observation & {
  readonly order: number;
  /** Virtual time in milliseconds. */
  readonly time: number;
};

/** Records observations in the order in which they are made. */
export class History {
  readonly events: HistoryEvent[] = [];

  constructor(private readonly now: () => number) {}

  record(observation: Observation): void {
    const order = this.events.length;
    this.events.push({...observation, order, time: this.now()});
  }
}

/** A broken promise, with the shortest part of the history that shows it. */
export interface Violation {
  readonly point: string;
  readonly message: string;
  readonly excerpt: readonly HistoryEvent[];
}

/** Judges one point of the brief. */
export interface Checker {
  readonly point: string;
  check(events: readonly HistoryEvent[]): Violation[];
}

export function taskKey(name: TaskName): string {
  return `${name.team}/${name.job}/${name.task}`;
}

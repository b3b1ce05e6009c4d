import type {Resources} from '../../src/utilities/resources.js';

/** What the stand-ins, callers and operators saw, in one monotonic order. */

/** A task of a job; its attempts share this name. */
export interface TaskName {
  readonly team: string;
  readonly job: string;
  readonly task: number;
}

/** What a worker did with one attempt. */
interface TaskFields {
  readonly vm: string;
  readonly name: TaskName;
  readonly attempt: number;
  readonly size: Resources;
  /** Work done so far, in milliseconds. */
  readonly doneMillis: number;
}

type Outcome = 'answered' | 'notRun' | 'unknown';

/** What is known of an observation, by its type. */
interface Fields {
  workerUp: {vm: string; failureDomain: string; capacity: Resources};
  /** The VM is gone, and with it all that it ran. */
  vmLost: {vm: string};
  taskStart: TaskFields;
  taskFinish: TaskFields;
  taskFail: TaskFields;
  taskLapse: TaskFields;
  taskStop: TaskFields;
  /** The store holds the end of an attempt. */
  attemptClosed: {
    name: TaskName;
    attempt: number;
    outcome: string;
    checkpointMillis: number;
  };
  jobDeclared: {team: string; job: string; idempotent: boolean; tasks: number};
  /** A submission was refused as not done. */
  jobRefused: {team: string; job: string};
  /** How the job stood when the run was over. */
  jobAtEnd: {team: string; job: string; phase: string; summary: string};
  invoke: {requestId: string; idempotent: boolean; body: string};
  response: {requestId: string; outcome: Outcome; body: string};
  executorBegin: {vm: string; requestId: string};
  executorEnd: {vm: string; requestId: string};
  /** The store holds a settings text that takes the domain out, or not. */
  settingsAccepted: {
    branch: string;
    revision: number;
    domainsOut: readonly string[];
    drainedVms: readonly string[];
  };
  /** An operator was told that the VM is drained. */
  drainAnswered: {vm: string};
  /** The run grows with each restart of the process. */
  settingsInForce: {process: string; run: number; revision: number};
  processUp: {process: string; run: number};
  processDown: {process: string; run: number};
  /** The VM is the one whose upstream it is; empty for an entry. */
  shutdownBegin: {process: string; vm: string};
  shutdownEnd: {process: string; vm: string};
  faultBegin: {fault: string; process: string};
  faultEnd: {fault: string; process: string};
}

export type Observation = {
  [Type in keyof Fields]: {readonly type: Type} & Readonly<Fields[Type]>;
}[keyof Fields];

/** The events of one type. */
export type EventOf<Type extends keyof Fields> = HistoryEvent & {type: Type};

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

/** How a promise was broken, with the shortest part of the history for it. */
export interface Finding {
  readonly message: string;
  readonly excerpt: readonly HistoryEvent[];
}

export interface Violation extends Finding {
  readonly point: string;
}

/** Judges one point of the brief. */
export abstract class Checker {
  abstract readonly point: string;

  check(events: readonly HistoryEvent[]): Violation[] {
    const findings = [...this.judge(events)];
    return findings.map(finding => ({point: this.point, ...finding}));
  }

  protected abstract judge(events: readonly HistoryEvent[]): Iterable<Finding>;
}

export function finding(message: string, ...excerpt: HistoryEvent[]): Finding {
  return {message, excerpt};
}

export function taskKey(name: TaskName): string {
  return `${name.team}/${name.job}/${name.task}`;
}

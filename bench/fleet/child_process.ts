import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {readDaemonFlags} from './daemon_flags.js';

const NODE_FLAGS = readDaemonFlags();

export interface ProcessCommand {
  readonly name: string;
  /** The compiled file that Node runs. */
  readonly file: string;
  readonly words: readonly string[];
  readonly logFile: string;
}

export interface ProcessEnd {
  /** Undefined when a signal ended the process. */
  readonly code?: number;
  readonly signal?: string;
}

/** One process of the fleet, started again with the same command. */
export class FleetProcess {
  private child?: ChildProcess;
  private ended: Promise<ProcessEnd> = Promise.resolve({});
  private isUp = false;

  constructor(readonly command: ProcessCommand) {}

  get running(): boolean {
    return this.isUp;
  }

  /** Undefined before the first start. */
  get processId(): number | undefined {
    return this.child?.pid;
  }

  start(): void {
    const {file, words, logFile} = this.command;
    const log = openSync(logFile, 'a');
    const child = spawn(process.execPath, [...NODE_FLAGS, file, ...words], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.child = child;
    this.isUp = true;
    this.ended = new Promise(resolve => {
      child.once('error', () => this.note(resolve, {code: -1}));
      child.once('exit', (code, signal) =>
        this.note(resolve, {
          code: code ?? undefined,
          signal: signal ?? undefined,
        }),
      );
    });
  }

  /** Sends a signal to this process only. */
  signal(signal: NodeJS.Signals): void {
    if (this.isUp) this.child?.kill(signal);
  }

  /** Resolves when the process has ended. */
  end(): Promise<ProcessEnd> {
    return this.ended;
  }

  private note(resolve: (end: ProcessEnd) => void, end: ProcessEnd): void {
    this.isUp = false;
    resolve(end);
  }
}

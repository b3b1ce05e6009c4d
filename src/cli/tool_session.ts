import type {Clock} from '../utilities/clock.js';
import {pause} from '../utilities/pause.js';
import type {EntryClient} from './entry_client.js';

const JSON_INDENT = 2;

/** Environment, clock, input and output of the tool, replaced in tests. */
export interface ToolContext {
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
  /** Reads the lines of a file, or of standard input. */
  readLines(file?: string): AsyncIterable<string>;
  /** Writes results. */
  write(text: string): void;
  /** Writes progress and errors. */
  writeError(text: string): void;
}

/** One execution of a command: its connection to the entries and its output. */
export class ToolSession {
  constructor(
    readonly client: EntryClient,
    readonly context: ToolContext,
    /** True if results are written as JSON. */
    readonly json: boolean,
    /** Author that is recorded with changes. */
    readonly author: string,
  ) {}

  /** Writes a result as JSON if requested, otherwise as the text. */
  show(result: unknown, text: string): void {
    const shown = this.json ? JSON.stringify(result, null, JSON_INDENT) : text;
    this.context.write(shown.endsWith('\n') ? shown : `${shown}\n`);
  }

  reportProgress(line: string): void {
    const shown = this.json ? JSON.stringify({progress: line}) : line;
    this.context.writeError(`${shown}\n`);
  }

  pause(millis: number): Promise<void> {
    return pause(this.context.clock, millis);
  }
}

import type {Clock} from '../utilities/clock.js';
import {pause} from '../utilities/pause.js';
import type {EntryClient} from './entry_client.js';

const JSON_INDENT = 2;

/** What the tool reads and writes besides the entries. */
export interface ToolSurroundings {
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
  /** The lines of a file, or of standard input. */
  readLines(file?: string): AsyncIterable<string>;
  /** Results. */
  write(text: string): void;
  /** Progress and errors. */
  writeError(text: string): void;
}

/** One run of a command: its entries and its output. */
export class ToolSession {
  constructor(
    readonly client: EntryClient,
    readonly surroundings: ToolSurroundings,
    /** Results are written as JSON. */
    readonly json: boolean,
    /** Who makes the changes. */
    readonly author: string,
  ) {}

  /** Writes a result: as JSON if asked for, else as the text. */
  show(result: unknown, text: string): void {
    const shown = this.json ? JSON.stringify(result, null, JSON_INDENT) : text;
    this.surroundings.write(shown.endsWith('\n') ? shown : `${shown}\n`);
  }

  progress(line: string): void {
    const shown = this.json ? JSON.stringify({progress: line}) : line;
    this.surroundings.writeError(`${shown}\n`);
  }

  pause(millis: number): Promise<void> {
    return pause(this.surroundings.clock, millis);
  }
}

import {
  PaceCommand,
  RunTraits,
  StartCommand,
  StopCommand,
} from '../../protocol/generated/burdockmoor.js';
import type {WorkerCommands} from '../../protocol/generated/burdockmoor.js';
import {MAXIMUM_CALL_BYTES} from '../../protocol/message_limits.js';
import {messageOf} from '../../utilities/base_error.js';

/** A message with more commands than this is split; a single one may be larger. */
const MAXIMUM_BATCH_BYTES = 1024 * 1024;

/** The commands of one message, by kind. */
export type Commands = Pick<
  WorkerCommands,
  'starts' | 'stops' | 'traits' | 'paces'
>;
export type CommandKind = keyof Commands;

interface PendingCommand {
  readonly bytes: number;
  readonly addTo: (commands: Commands) => void;
}

/** The commands that wait to be sent to one agent, in order. */
export class CommandQueue {
  private readonly pending: PendingCommand[] = [];

  get isEmpty(): boolean {
    return this.pending.length === 0;
  }

  /**
   * Returns why the command can't be sent, else undefined. Such a command would
   * end the stream and all that depends on it.
   */
  add<Kind extends CommandKind>(
    kind: Kind,
    command: Commands[Kind][number],
  ): string | undefined {
    try {
      const bytes = encodedLength(kind, command);
      if (bytes > MAXIMUM_CALL_BYTES) return `it has ${bytes} bytes`;
      const addTo = (commands: Commands): void => {
        const list: Array<Commands[Kind][number]> = commands[kind];
        list.push(command);
      };
      this.pending.push({bytes, addTo});
      return undefined;
    } catch (error) {
      return messageOf(error);
    }
  }

  /** Returns the commands of the next message, which stay in the queue. */
  next(): {readonly commands: Commands; readonly count: number} {
    const commands: Commands = {starts: [], stops: [], traits: [], paces: []};
    let count = 0;
    let total = 0;
    for (const {bytes, addTo} of this.pending) {
      total += bytes;
      if (count > 0 && total > MAXIMUM_BATCH_BYTES) break;
      addTo(commands);
      count++;
    }
    return {commands, count};
  }

  /** Removes the commands of a message that was sent. */
  remove(count: number): void {
    this.pending.splice(0, count);
  }
}

function encodedLength<Kind extends CommandKind>(
  kind: Kind,
  command: Commands[Kind][number],
): number {
  const encoders = {
    starts: StartCommand,
    stops: StopCommand,
    traits: RunTraits,
    paces: PaceCommand,
  };
  const {encode} = encoders[kind] as unknown as {
    encode(message: Commands[Kind][number]): {finish(): Uint8Array};
  };
  return encode(command).finish().length;
}

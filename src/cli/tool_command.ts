import {defineCommand, parseArgs} from 'citty';
import type {ArgsDef, CommandDef, ParsedArgs} from 'citty';
import type {ToolSession} from './tool_session.js';
import {usageError} from './tool_error.js';

/** Options that every command takes. */
export const COMMON_ARGUMENTS = {
  entry: {
    type: 'string',
    description:
      'URLs of entries, divided by commas, tried in order; else BURDOCKMOOR_ENTRY',
    valueHint: 'url',
  },
  json: {type: 'boolean', description: 'Write the result as JSON'},
  author: {
    type: 'string',
    description: 'Who makes a change; else BURDOCKMOOR_AUTHOR or USER',
    valueHint: 'name',
  },
} as const satisfies ArgsDef;

/** Options of commands that change something. */
export const WAIT_ARGUMENTS = {
  wait: {
    type: 'boolean',
    description: 'Wait until it is in force everywhere, or has ended',
  },
  'timeout-seconds': {
    type: 'string',
    description: 'Longest time to wait',
    default: '15',
    valueHint: 'seconds',
  },
} as const satisfies ArgsDef;

/** A command of the tool. */
export interface ToolCommand {
  readonly description: string;
  /** A command line that works against the playground. */
  readonly example: string;
  readonly definition: CommandDef;
  /** False for commands that work without an entry. */
  readonly needsEntry: boolean;
  /** @throws ToolError for a wrong command line. */
  readonly parse: (rawArguments: readonly string[]) => ToolInvocation;
}

/** A command with its arguments, ready to run. */
export interface ToolInvocation {
  readonly common: ParsedArgs<typeof COMMON_ARGUMENTS>;
  readonly run: (session: ToolSession) => Promise<void>;
}

export function defineToolCommand<const Arguments extends ArgsDef>(options: {
  name: string;
  description: string;
  example: string;
  args: Arguments;
  needsEntry?: boolean;
  /** Whether names of files may follow the other words. */
  takesFiles?: boolean;
  run: (session: ToolSession, args: ParsedArgs<Arguments>) => Promise<void>;
}): ToolCommand {
  const {name, description, example, run} = options;
  const {needsEntry = true, takesFiles = false} = options;
  const args = {...options.args, ...COMMON_ARGUMENTS};
  return {
    description,
    example,
    needsEntry,
    definition: defineCommand<ArgsDef>({meta: {name, description}, args}),
    parse: rawArguments => {
      checkOptionNames(rawArguments, args);
      const parsed = parseOrFail(rawArguments, args);
      if (!takesFiles) checkExtraWords(parsed._, options.args);
      return {
        common: parsed as unknown as ParsedArgs<typeof COMMON_ARGUMENTS>,
        run: session =>
          run(session, parsed as unknown as ParsedArgs<Arguments>),
      };
    },
  };
}

/** The whole number of an option, or undefined when it isn't given. */
export function wholeNumber(
  option: string,
  text: string | undefined,
): number | undefined {
  if (text === undefined) return undefined;
  if (/^\d{1,12}$/.test(text)) return Number(text);
  throw usageError(`--${option} takes a whole number, not ${text}.`);
}

/** The decimal number of an option, or undefined when it isn't given. */
export function decimalNumber(
  option: string,
  text: string | undefined,
): number | undefined {
  if (text === undefined) return undefined;
  if (/^\d{1,9}(\.\d{1,6})?$/.test(text)) return Number(text);
  throw usageError(`--${option} takes a number, not ${text}.`);
}

function parseOrFail(
  rawArguments: readonly string[],
  args: ArgsDef,
): ParsedArgs<ArgsDef> {
  try {
    return parseArgs([...rawArguments], args);
  } catch (error) {
    throw usageError((error as Error).message);
  }
}

function checkOptionNames(
  rawArguments: readonly string[],
  args: ArgsDef,
): void {
  for (const [index, raw] of rawArguments.entries()) {
    if (raw === '--') return;
    if (!raw.startsWith('--')) continue;
    const [name] = raw.slice(2).split('=', 1);
    const plain = name.replace(/^no-/, '');
    const known = args[name] ?? (name !== plain ? args[plain] : undefined);
    if (!known || known.type === 'positional') {
      const names = Object.keys(args).filter(
        key => args[key].type !== 'positional',
      );
      throw usageError(
        `Unknown option --${name}; there are --${names.join(', --')}.`,
      );
    }
    const needsValue = known.type === 'string' && !raw.includes('=');
    if (needsValue && rawArguments[index + 1] === undefined) {
      throw usageError(`--${name} needs a value.`);
    }
  }
}

function checkExtraWords(words: readonly string[], args: ArgsDef): void {
  const expected = Object.values(args).filter(
    argument => argument.type === 'positional',
  ).length;
  if (words.length <= expected) return;
  throw usageError(`Too many words: ${words.slice(expected).join(' ')}.`);
}

import {defineCommand, parseArgs} from 'citty';
import type {ArgsDef, CommandDef, ParsedArgs} from 'citty';
import type {ToolSession} from './tool_session.js';
import {createUsageError} from './tool_error.js';

/** Options that every command takes. */
export const COMMON_ARGUMENTS = {
  entry: {
    type: 'string',
    description:
      'URLs of entries, separated by commas, tried in order; BURDOCKMOOR_ENTRY if not given',
    valueHint: 'url',
  },
  json: {type: 'boolean', description: 'Print the result as JSON'},
  author: {
    type: 'string',
    description:
      'Author of the change; BURDOCKMOOR_AUTHOR or USER if not given',
    valueHint: 'name',
  },
} as const satisfies ArgsDef;

/** Options of commands that change something. */
export const WAIT_ARGUMENTS = {
  wait: {
    type: 'boolean',
    description:
      'Wait until the change is in force everywhere, or the job has ended',
  },
  'timeout-seconds': {
    type: 'string',
    description: 'Maximum time to wait',
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
  /** True if file names may follow the other positional arguments. */
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
      const parsed = parseArguments(rawArguments, args);
      if (!takesFiles) checkPositionalCount(parsed._, options.args);
      return {
        common: parsed as unknown as ParsedArgs<typeof COMMON_ARGUMENTS>,
        run: session =>
          run(session, parsed as unknown as ParsedArgs<Arguments>),
      };
    },
  };
}

/** Returns the whole number of an option, or undefined if not given. */
export function parseWholeNumber(
  option: string,
  text: string | undefined,
): number | undefined {
  if (text === undefined) return undefined;
  if (/^\d{1,12}$/.test(text)) return Number(text);
  throw createUsageError(`--${option} takes a whole number, not ${text}.`);
}

/** Returns the decimal number of an option, or undefined if not given. */
export function parseDecimalNumber(
  option: string,
  text: string | undefined,
): number | undefined {
  if (text === undefined) return undefined;
  if (/^\d{1,9}(\.\d{1,6})?$/.test(text)) return Number(text);
  throw createUsageError(`--${option} takes a number, not ${text}.`);
}

function parseArguments(
  rawArguments: readonly string[],
  args: ArgsDef,
): ParsedArgs<ArgsDef> {
  try {
    return parseArgs([...rawArguments], args);
  } catch (error) {
    throw createUsageError((error as Error).message);
  }
}

function checkOptionNames(
  rawArguments: readonly string[],
  args: ArgsDef,
): void {
  for (const [index, argument] of rawArguments.entries()) {
    if (argument === '--') return;
    if (!argument.startsWith('--')) continue;
    const [name] = argument.slice(2).split('=', 1);
    const positiveName = name.replace(/^no-/, '');
    const known =
      args[name] ?? (name !== positiveName ? args[positiveName] : undefined);
    if (!known || known.type === 'positional') {
      const names = Object.keys(args).filter(
        key => args[key].type !== 'positional',
      );
      throw createUsageError(
        `Unknown option --${name}; available options: --${names.join(', --')}.`,
      );
    }
    const needsValue = known.type === 'string' && !argument.includes('=');
    if (needsValue && rawArguments[index + 1] === undefined) {
      throw createUsageError(`--${name} needs a value.`);
    }
  }
}

function checkPositionalCount(
  positionals: readonly string[],
  args: ArgsDef,
): void {
  const expected = Object.values(args).filter(
    argument => argument.type === 'positional',
  ).length;
  if (positionals.length <= expected) return;
  throw createUsageError(
    `Too many arguments: ${positionals.slice(expected).join(' ')}.`,
  );
}

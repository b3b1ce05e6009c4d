import type {ArgDef, ArgsDef} from 'citty';
import {ExitCodes} from '../../src/cli/exit_codes.js';
import {COMMAND_GROUPS} from '../../src/cli/tool.js';
import {COMMON_ARGUMENTS} from '../../src/cli/tool_command.js';
import type {ToolCommand} from '../../src/cli/tool_command.js';
import {GENERATED_NOTE, joinBlocks, markdownTable} from './markdown.js';

/** The page of the operators' tool, from its commands. */
export function cliPage(): string {
  const blocks = [
    GENERATED_NOTE,
    '# The tool `burdockmoor`',
    'It speaks HTTP to any entry. `--entry` or `BURDOCKMOOR_ENTRY` names one or more by URL; the next one is tried when one cannot be reached. Results go to standard output, progress and errors to standard error. With `--json` both are JSON.',
    '## A change and its race',
    '`settings get` heads the text with the revision it stands at. `settings apply` sends the text only against that revision: when someone else was first, nothing is changed, the tool ends with status 4 and shows the lines that differ between the text as it stands now and yours. `--wait` follows an accepted change until every process has it in force, and ends with status 9 and the names of the processes that lag when the time is up. The change stays accepted all the same.',
    '## Exit status',
    markdownTable(
      ['status', 'name', 'meaning'],
      Object.entries(ExitCodes).map(([name, code]) => [
        code.status,
        name,
        code.meaning,
      ]),
    ),
    '## Options of every command',
    optionTable(COMMON_ARGUMENTS),
  ];
  for (const [name, group] of Object.entries(COMMAND_GROUPS)) {
    blocks.push(`## \`${name}\``, `${group.description}.`);
    for (const [commandName, command] of Object.entries(group.commands)) {
      blocks.push(...commandBlocks(`${name} ${commandName}`, command));
    }
  }
  return joinBlocks(blocks);
}

function commandBlocks(name: string, command: ToolCommand): string[] {
  const common: readonly string[] = Object.keys(COMMON_ARGUMENTS);
  const own = Object.entries(command.definition.args as ArgsDef).filter(
    ([option]) => !common.includes(option),
  );
  const blocks = [
    `### \`${name}\``,
    `${command.description}.`,
    `    ${command.example}`,
  ];
  if (own.length > 0) blocks.push(optionTable(Object.fromEntries(own)));
  return blocks;
}

function optionTable(args: ArgsDef): string {
  const rows = Object.entries(args).map(([name, argument]) => [
    `\`${optionText(name, argument)}\``,
    meaningOf(argument),
  ]);
  return markdownTable(['argument', 'meaning'], rows);
}

function optionText(name: string, argument: ArgDef): string {
  if (argument.type === 'positional') {
    const word = name.toUpperCase();
    return argument.required === false ? `[${word}]` : word;
  }
  if (argument.type === 'enum') {
    return `--${name} ${(argument.options ?? []).join('|')}`;
  }
  if (argument.type === 'string') return `--${name} ${argument.valueHint}`;
  return 'negativeDescription' in argument
    ? `--${name}, --no-${name}`
    : `--${name}`;
}

function meaningOf(argument: ArgDef): string {
  const parts = [argument.description ?? ''];
  if ('negativeDescription' in argument) {
    parts.push(String(argument.negativeDescription));
  }
  const text = parts.join('; with --no: ');
  const fallback = argument.default;
  return fallback === undefined ? text : `${text} (default: ${fallback})`;
}

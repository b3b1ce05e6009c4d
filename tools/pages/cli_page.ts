import type {ArgDef, ArgsDef} from 'citty';
import {ExitCodes} from '../../src/cli/exit_codes.js';
import {COMMAND_GROUPS} from '../../src/cli/tool.js';
import {COMMON_ARGUMENTS} from '../../src/cli/tool_command.js';
import type {ToolCommand} from '../../src/cli/tool_command.js';
import {GENERATED_PAGE_COMMENT, joinBlocks, markdownTable} from './markdown.js';

/** Generates the page of the operators' tool from its commands. */
export function cliPage(): string {
  const blocks = [
    GENERATED_PAGE_COMMENT,
    '# The tool `burdockmoor`',
    'The tool sends HTTP requests to any entry. `--entry` or `BURDOCKMOOR_ENTRY` specifies the URLs of one or more entries; if one cannot be reached, the next one is tried. Results go to standard output, progress and errors to standard error. With `--json` both are JSON.',
    '## Changes and conflicts',
    '`settings get` prints the current revision before the text. `settings apply` replaces the text only if the branch still has that revision: if another change came first, nothing is changed, and the tool exits with status 4 and shows the lines that differ between the current text and yours. `--wait` waits until an accepted change is in force on every process; when the timeout expires first, the tool exits with status 9 and names the lagging processes. The change remains accepted.',
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
    describeArgument(argument),
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

function describeArgument(argument: ArgDef): string {
  const parts = [argument.description ?? ''];
  if ('negativeDescription' in argument) {
    parts.push(String(argument.negativeDescription));
  }
  const text = parts.join('; with --no: ');
  const fallback = argument.default;
  return fallback === undefined ? text : `${text} (default: ${fallback})`;
}

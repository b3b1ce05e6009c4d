import {renderUsage} from 'citty';
import {messageOf} from '../utilities/base_error.js';
import {bringDomainIn, listDomains, takeDomainOut} from './domain_commands.js';
import {EntryClient} from './entry_client.js';
import {ExitCodes} from './exit_codes.js';
import {
  cancelJob,
  confirmJob,
  explainJob,
  listJobs,
  showJob,
  submitJob,
} from './job_commands.js';
import {traceRequest} from './log_commands.js';
import {callService, listServices} from './service_commands.js';
import {
  applySettings,
  getSettings,
  setSettings,
  showHistory,
  showStatus,
} from './settings_commands.js';
import {dumpState} from './state_commands.js';
import type {ToolCommand, ToolInvocation} from './tool_command.js';
import {ToolError, usageError} from './tool_error.js';
import {ToolSession} from './tool_session.js';
import type {ToolSurroundings} from './tool_session.js';
import {drainVm, listVms, undrainVm} from './vm_commands.js';
import {
  closeWatcher,
  explainWatcher,
  listWatchers,
  openWatcher,
  showWatcher,
} from './watcher_commands.js';

/** Commands of one subject. */
export interface CommandGroup {
  readonly description: string;
  readonly commands: Readonly<Record<string, ToolCommand>>;
}

export const COMMAND_GROUPS: Readonly<Record<string, CommandGroup>> = {
  settings: {
    description: 'Read and change settings branches',
    commands: {
      get: getSettings,
      set: setSettings,
      apply: applySettings,
      history: showHistory,
      status: showStatus,
    },
  },
  domain: {
    description: 'Take failure domains out and bring them back',
    commands: {out: takeDomainOut, in: bringDomainIn, list: listDomains},
  },
  vm: {
    description: 'Drain VMs',
    commands: {drain: drainVm, undrain: undrainVm, list: listVms},
  },
  job: {
    description: 'Submit and follow batch jobs',
    commands: {
      submit: submitJob,
      show: showJob,
      list: listJobs,
      cancel: cancelJob,
      confirm: confirmJob,
      explain: explainJob,
    },
  },
  watcher: {
    description: 'Open and close watchers',
    commands: {
      open: openWatcher,
      close: closeWatcher,
      show: showWatcher,
      list: listWatchers,
      explain: explainWatcher,
    },
  },
  service: {
    description: 'List services and call them',
    commands: {list: listServices, call: callService},
  },
  log: {
    description: 'Read the logs of all processes',
    commands: {trace: traceRequest},
  },
  state: {
    description: 'Look into a process',
    commands: {dump: dumpState},
  },
};

/** Commands that may be called without their group. */
const SHORTHANDS: Readonly<Record<string, readonly string[]>> = {
  trace: ['log', 'trace'],
};

const HELP_OPTIONS: ReadonlySet<string> = new Set(['--help', '-h']);

/** Runs the tool and resolves to its exit status. */
export async function runTool(
  givenArguments: readonly string[],
  surroundings: ToolSurroundings,
): Promise<number> {
  const rawArguments = expandShorthand(givenArguments);
  const json = rawArguments.includes('--json');
  try {
    const help = await helpFor(rawArguments);
    if (help === undefined) await runCommand(rawArguments, surroundings);
    else surroundings.write(help);
    return ExitCodes.DONE.status;
  } catch (error) {
    return reportFailure(error, surroundings, json);
  }
}

function expandShorthand(given: readonly string[]): readonly string[] {
  const [first = '', ...rest] = given;
  if (!Object.hasOwn(SHORTHANDS, first)) return given;
  return [...SHORTHANDS[first], ...rest];
}

/** The help that was asked for; undefined when a command is to be run. */
async function helpFor(
  rawArguments: readonly string[],
): Promise<string | undefined> {
  const [groupName, commandName] = rawArguments;
  const wantsHelp = rawArguments.some(raw => HELP_OPTIONS.has(raw));
  if (groupName === undefined || HELP_OPTIONS.has(groupName)) return toolHelp();
  if (!wantsHelp) return undefined;
  if (HELP_OPTIONS.has(commandName)) return groupHelp(groupName);
  const command = findCommand(groupName, commandName);
  const parent = {meta: {name: `burdockmoor ${groupName}`}};
  const usage = await renderUsage(command.definition, parent);
  return `${usage}\n\nEXAMPLE\n\n  ${command.example}\n`;
}

async function runCommand(
  rawArguments: readonly string[],
  surroundings: ToolSurroundings,
): Promise<void> {
  const [groupName, commandName, ...rest] = rawArguments;
  const command = findCommand(groupName, commandName);
  const invocation = command.parse(rest);
  const entries = command.needsEntry ? entryUrls(invocation, surroundings) : [];
  const session = openSession(invocation, surroundings, entries);
  try {
    await invocation.run(session);
  } finally {
    await session.client.close();
  }
}

function entryUrls(
  {common}: ToolInvocation,
  {environment}: ToolSurroundings,
): string[] {
  const entries = common.entry ?? environment.BURDOCKMOOR_ENTRY;
  if (!entries) {
    throw usageError('Name an entry by --entry URL or BURDOCKMOOR_ENTRY.');
  }
  return entries.split(',').map(url => url.trim());
}

function openSession(
  {common}: ToolInvocation,
  surroundings: ToolSurroundings,
  urls: readonly string[],
): ToolSession {
  const {environment} = surroundings;
  const author =
    common.author ??
    environment.BURDOCKMOOR_AUTHOR ??
    environment.USER ??
    'unknown';
  const client = new EntryClient(urls);
  return new ToolSession(client, surroundings, common.json ?? false, author);
}

function findCommand(
  groupName: string,
  commandName: string | undefined,
): ToolCommand {
  const group = findGroup(groupName);
  const names = Object.keys(group.commands);
  if (
    commandName === undefined ||
    !Object.hasOwn(group.commands, commandName)
  ) {
    throw usageError(
      `burdockmoor ${groupName} has the commands ${names.join(', ')}.`,
    );
  }
  return group.commands[commandName];
}

function findGroup(groupName: string): CommandGroup {
  if (Object.hasOwn(COMMAND_GROUPS, groupName)) {
    return COMMAND_GROUPS[groupName];
  }
  const names = Object.keys(COMMAND_GROUPS).join(', ');
  throw usageError(`No command ${groupName}; there are ${names}.`);
}

function toolHelp(): string {
  const lines = ['burdockmoor: the operators tool', ''];
  for (const [name, group] of Object.entries(COMMAND_GROUPS)) {
    const commands = Object.keys(group.commands).join('|');
    lines.push(`  burdockmoor ${name} ${commands}`);
    lines.push(`      ${group.description}`);
  }
  lines.push('', 'Each takes --help. Example:');
  lines.push(`  ${showStatus.example} --entry http://127.0.0.1:7070`, '');
  return lines.join('\n');
}

function groupHelp(groupName: string): string {
  const group = findGroup(groupName);
  const lines = [`${group.description}:`, ''];
  for (const [name, command] of Object.entries(group.commands)) {
    lines.push(`  burdockmoor ${groupName} ${name}`);
    lines.push(`      ${command.description}`);
    lines.push(`      Example: ${command.example}`);
  }
  return `${lines.join('\n')}\n`;
}

function reportFailure(
  error: unknown,
  surroundings: ToolSurroundings,
  json: boolean,
): number {
  const known = error instanceof ToolError;
  const exitCode = known ? error.exitCode : ExitCodes.FAULT;
  const message = messageOf(error);
  if (json) {
    const answer = known ? error.answer : {};
    const report = {...answer, error: message, exitStatus: exitCode.status};
    surroundings.writeError(`${JSON.stringify(report)}\n`);
  } else {
    surroundings.writeError(`${message}\n`);
  }
  return exitCode.status;
}

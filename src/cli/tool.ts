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
import {explainPlacement} from './place_commands.js';
import {dumpState} from './state_commands.js';
import type {ToolCommand, ToolInvocation} from './tool_command.js';
import {ToolError, createUsageError} from './tool_error.js';
import {ToolSession} from './tool_session.js';
import type {ToolContext} from './tool_session.js';
import {drainVm, listVms, undrainVm} from './vm_commands.js';
import {
  closeWatcher,
  explainWatcher,
  listWatchers,
  openWatcher,
  showWatcher,
} from './watcher_commands.js';

/** Commands for one kind of object, such as jobs. */
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
    description: 'Take failure domains out of service and bring them back',
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
  place: {
    description: 'Explain where tasks would be placed',
    commands: {explain: explainPlacement},
  },
  state: {
    description: 'Inspect the state of a process',
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
  context: ToolContext,
): Promise<number> {
  const rawArguments = expandShorthand(givenArguments);
  const json = rawArguments.includes('--json');
  try {
    const help = await renderHelp(rawArguments);
    if (help === undefined) await runCommand(rawArguments, context);
    else context.write(help);
    return ExitCodes.DONE.status;
  } catch (error) {
    return reportFailure(error, context, json);
  }
}

function expandShorthand(rawArguments: readonly string[]): readonly string[] {
  const [first = '', ...rest] = rawArguments;
  if (!Object.hasOwn(SHORTHANDS, first)) return rawArguments;
  return [...SHORTHANDS[first], ...rest];
}

/** Returns the requested help, or undefined if a command is to be run. */
async function renderHelp(
  rawArguments: readonly string[],
): Promise<string | undefined> {
  const [groupName, commandName] = rawArguments;
  const wantsHelp = rawArguments.some(raw => HELP_OPTIONS.has(raw));
  if (groupName === undefined || HELP_OPTIONS.has(groupName))
    return renderToolHelp();
  if (!wantsHelp) return undefined;
  if (HELP_OPTIONS.has(commandName)) return renderGroupHelp(groupName);
  const command = findCommand(groupName, commandName);
  const parent = {meta: {name: `burdockmoor ${groupName}`}};
  const usage = await renderUsage(command.definition, parent);
  return `${usage}\n\nEXAMPLE\n\n  ${command.example}\n`;
}

async function runCommand(
  rawArguments: readonly string[],
  context: ToolContext,
): Promise<void> {
  const [groupName, commandName, ...rest] = rawArguments;
  const command = findCommand(groupName, commandName);
  const invocation = command.parse(rest);
  const entries = command.needsEntry ? entryUrls(invocation, context) : [];
  const session = openSession(invocation, context, entries);
  try {
    await invocation.run(session);
  } finally {
    await session.client.close();
  }
}

function entryUrls(
  {common}: ToolInvocation,
  {environment}: ToolContext,
): string[] {
  const entries = common.entry ?? environment.BURDOCKMOOR_ENTRY;
  if (!entries) {
    throw createUsageError(
      'Specify an entry with --entry URL or BURDOCKMOOR_ENTRY.',
    );
  }
  return entries.split(',').map(url => url.trim());
}

function openSession(
  {common}: ToolInvocation,
  context: ToolContext,
  urls: readonly string[],
): ToolSession {
  const {environment} = context;
  const author =
    common.author ??
    environment.BURDOCKMOOR_AUTHOR ??
    environment.USER ??
    'unknown';
  const client = new EntryClient(urls);
  return new ToolSession(client, context, common.json ?? false, author);
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
    throw createUsageError(
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
  throw createUsageError(
    `Unknown command ${groupName}; available commands: ${names}.`,
  );
}

function renderToolHelp(): string {
  const lines = ['burdockmoor: the command-line tool for operators', ''];
  for (const [name, group] of Object.entries(COMMAND_GROUPS)) {
    const commands = Object.keys(group.commands).join('|');
    lines.push(`  burdockmoor ${name} ${commands}`);
    lines.push(`      ${group.description}`);
  }
  lines.push('', 'Every command takes --help. Example:');
  lines.push(`  ${showStatus.example} --entry http://127.0.0.1:7070`, '');
  return lines.join('\n');
}

function renderGroupHelp(groupName: string): string {
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
  context: ToolContext,
  json: boolean,
): number {
  const isToolError = error instanceof ToolError;
  const exitCode = isToolError ? error.exitCode : ExitCodes.FAULT;
  const message = messageOf(error);
  if (json) {
    const details = isToolError ? error.details : {};
    const report = {...details, error: message, exitStatus: exitCode.status};
    context.writeError(`${JSON.stringify(report)}\n`);
  } else {
    context.writeError(`${message}\n`);
  }
  return exitCode.status;
}

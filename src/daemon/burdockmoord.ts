#!/usr/bin/env -S node --max-semi-space-size=1 --optimize-for-size --max-lazy --no-sparkplug --no-short-builtin-calls --interrupt-budget=270000 --no-wasm-tier-up --no-wasm-dynamic-tiering --v8-pool-size=1
/** The daemon: runs one role with one settings file until it gets a signal. */
import {defineCommand, runMain} from 'citty';
import {runAgent} from './agent_role.js';
import {checkSettingsFile} from './check_settings.js';
import {runEntry} from './entry_role.js';

const settingsArgument = {
  type: 'string',
  description: 'The INI file of this process, such as entry.ini',
  required: true,
} as const;

const entry = defineCommand({
  meta: {
    name: 'entry',
    description: 'Serve callers and operators, and own shards of jobs',
  },
  args: {settings: settingsArgument},
  run: ({args}) => runEntry(args.settings),
});

const agent = defineCommand({
  meta: {
    name: 'agent',
    description:
      'Run the tasks and requests that entries send to the VM of this agent',
  },
  args: {settings: settingsArgument},
  run: ({args}) => runAgent(args.settings),
});

const check = defineCommand({
  meta: {
    name: 'check-settings',
    description: 'Check a settings file of an entry or an agent, and exit',
  },
  args: {
    file: {type: 'positional', description: 'The INI file', required: true},
  },
  run: ({args}) => checkSettingsFile(args.file),
});

/** Replaces the flag `--check-settings` by the command of the same name. */
function replaceCheckFlag(commandArguments: readonly string[]): string[] {
  return commandArguments.map(argument =>
    argument === '--check-settings' ? 'check-settings' : argument,
  );
}

const main = defineCommand({
  meta: {
    name: 'burdockmoord',
    description:
      'burdockmoor daemon. Example: burdockmoord entry --settings entry.ini',
  },
  subCommands: {entry, agent, 'check-settings': check},
});

void runMain(main, {rawArgs: replaceCheckFlag(process.argv.slice(2))});

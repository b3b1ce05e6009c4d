/** The daemon on the users' platform: runs one role with its settings. */
import {defineCommand, runMain} from 'citty';
import type {Logger} from '../observability/logger.js';
import type {Metrics} from '../observability/metrics.js';
import {readPlatformSettings} from '../platform/platform_settings.js';
import type {FleetProcessSettings} from '../platform/platform_settings.js';
import {FleetAgentRole} from './fleet_agent_role.js';
import {FleetEntryRole} from './fleet_entry_role.js';
import {runRole} from './process_runner.js';
import type {RunningRole} from './process_runner.js';
import {readSettingsOrExit} from './read_settings_or_exit.js';

async function run(
  createRole: (
    settings: FleetProcessSettings,
    logger: Logger,
    metrics: Metrics,
  ) => RunningRole,
): Promise<void> {
  const settings = readSettingsOrExit(() => readPlatformSettings());
  await runRole(
    {process: {id: settings.processName}, logs: {format: 'json'}},
    (logger, metrics) => createRole(settings, logger, metrics),
  );
}

const entry = defineCommand({
  meta: {
    name: 'entry',
    description: 'Serve callers and own the pool of workers',
  },
  run: () => run((...dependencies) => new FleetEntryRole(...dependencies)),
});

const agent = defineCommand({
  meta: {name: 'agent', description: 'Serve the worker on this machine'},
  run: () => run((...dependencies) => new FleetAgentRole(...dependencies)),
});

const main = defineCommand({
  meta: {
    name: 'burdockmoor-fleet',
    description: "burdockmoor on the users' platform",
  },
  subCommands: {entry, agent},
});

void runMain(main);

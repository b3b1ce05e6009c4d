import {BranchesScenario} from './branches_scenario.js';
import {EntriesScenario} from './entries_scenario.js';
import type {FootprintScenario} from './footprint_scenario.js';
import {IdleScenario} from './idle_scenario.js';
import {SettingsScenario} from './settings_scenario.js';
import {TasksScenario} from './tasks_scenario.js';

/** What `--scenario` takes. */
export const SCENARIOS: ReadonlyMap<string, FootprintScenario> = new Map<
  string,
  FootprintScenario
>([
  ['idle', new IdleScenario()],
  ['branches', new BranchesScenario()],
  ['tasks', new TasksScenario()],
  ['entries', new EntriesScenario()],
  ['settings', new SettingsScenario()],
]);

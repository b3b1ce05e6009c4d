import type {EntryApi} from '../fleet/entry_api.js';
import {pause, waitUntil} from '../fleet/wait_until.js';
import {summarizeDelays} from './delays.js';
import {EntriesFleet} from './entries_fleet.js';
import {measureWindow} from './fleet_window.js';
import type {FootprintScenario, ScenarioReport} from './footprint_scenario.js';

const ENTRIES = 6;
const AGENTS = 400;
const BRANCHES = 400;
const CHANGES = 40;
const CHANGE_PERIOD_MILLIS = 500;
const SETTLE_MILLIS = 8_000;
const POLL_MILLIS = 100;
const IN_FORCE_DEADLINE_MILLIS = 60_000;
const BRANCH_TEXT = '[quota]\nrunning_tasks = 200\n';

interface Change {
  readonly revision: number;
  readonly writtenAt: number;
}

/**
 * A burst of settings changes over six entries, 400 agents and 400 branches,
 * and the time until each is in force everywhere.
 */
export class SettingsScenario implements FootprintScenario {
  private readonly revisions = new Map<number, number>();

  async run(): Promise<ScenarioReport> {
    const fleet = await EntriesFleet.start({
      entries: ENTRIES,
      mostAgents: AGENTS,
    });
    try {
      return await this.measure(fleet);
    } finally {
      await fleet.close();
    }
  }

  private async measure(fleet: EntriesFleet): Promise<ScenarioReport> {
    await fleet.addSimulatedAgents(AGENTS);
    for (let branch = 0; branch < BRANCHES; branch++) {
      await this.put(fleet.apis[branch % ENTRIES], branch);
    }
    await pause(SETTLE_MILLIS);
    const burstMillis = CHANGES * CHANGE_PERIOD_MILLIS;
    const points = [await measureWindow(fleet, 'no change', SETTLE_MILLIS)];
    const window = measureWindow(fleet, 'in the burst', burstMillis);
    const entriesDelays: number[] = [];
    const allDelays: number[] = [];
    const pending: Promise<void>[] = [];
    for (let number = 0; number < CHANGES; number++) {
      const change = this.put(fleet.apis[number % ENTRIES], number * 7);
      pending.push(
        change.then(async made => {
          entriesDelays.push(await this.untilInForce(fleet, made, 'entry'));
          allDelays.push(await this.untilInForce(fleet, made, 'agent'));
        }),
      );
      await pause(CHANGE_PERIOD_MILLIS);
    }
    points.push(await window);
    await Promise.all(pending);
    return {
      points,
      delays: [
        summarizeDelays('written to in force in all entries', entriesDelays),
        summarizeDelays('written to known of all processes', allDelays),
      ],
      notes: [`${CHANGES} changes, one every ${CHANGE_PERIOD_MILLIS} ms`],
    };
  }

  private async put(api: EntryApi, branch: number): Promise<Change> {
    const based = this.revisions.get(branch) ?? 0;
    const name = `branch-${branch}`;
    const {revision} = await api.putSettings(name, BRANCH_TEXT, based);
    this.revisions.set(branch, revision);
    return {revision, writtenAt: performance.now()};
  }

  /** Resolves to the delay after which the role's processes told of it. */
  private async untilInForce(
    fleet: EntriesFleet,
    change: Change,
    role: 'entry' | 'agent',
  ): Promise<number> {
    const poll = async () => {
      const statuses = await fleet.apis[0].statuses();
      const behind = statuses.filter(
        each => each.role === role && each.settingsRevision < change.revision,
      );
      return behind.length === 0 ? true : undefined;
    };
    await waitUntil(`revision ${change.revision} at each ${role}`, poll, {
      deadlineMillis: IN_FORCE_DEADLINE_MILLIS,
      pollMillis: POLL_MILLIS,
    });
    return performance.now() - change.writtenAt;
  }
}

import {pause} from '../fleet/wait_until.js';
import {FootprintFleet} from './footprint_fleet.js';
import type {FootprintScenario, ScenarioReport} from './footprint_scenario.js';

const BRANCH_COUNTS = [0, 100, 400];
const BRANCH_TEXT = '[quota]\nrunning_tasks = 200\n';
const SETTLE_MILLIS = 20_000;

/** Memory of an entry against the branches of settings, and nothing else. */
export class BranchesScenario implements FootprintScenario {
  async run(): Promise<ScenarioReport> {
    const fleet = await FootprintFleet.start();
    try {
      return await this.measure(fleet);
    } finally {
      await fleet.close();
    }
  }

  private async measure(fleet: FootprintFleet): Promise<ScenarioReport> {
    const points: object[] = [];
    let branch = 0;
    for (const branches of BRANCH_COUNTS) {
      for (; branch < branches; branch++) {
        await fleet.api.putSettings(`branch-${branch}`, BRANCH_TEXT, 0);
      }
      await pause(SETTLE_MILLIS);
      points.push({branches, ...(await megabytes(fleet))});
    }
    await fleet.restartDaemons();
    await pause(SETTLE_MILLIS);
    points.push({
      branches: BRANCH_COUNTS.at(-1),
      ...(await megabytes(fleet)),
      restarted: true,
    });
    return {points};
  }
}

async function megabytes(
  fleet: FootprintFleet,
): Promise<{entryMegabytes: number; agentMegabytes: number}> {
  const {entry, agent} = await fleet.counters();
  return {
    entryMegabytes: entry.residentMegabytes,
    agentMegabytes: agent.residentMegabytes,
  };
}

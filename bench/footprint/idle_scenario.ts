import {pause} from '../fleet/wait_until.js';
import {FootprintFleet} from './footprint_fleet.js';
import type {FootprintScenario, ScenarioReport} from './footprint_scenario.js';

const RUNS = 3;
const IDLE_MILLIS = 30_000;

/** Memory of an entry and an agent after half a minute without work. */
export class IdleScenario implements FootprintScenario {
  async run(): Promise<ScenarioReport> {
    const points: object[] = [];
    for (let run = 1; run <= RUNS; run++) points.push(await this.measure(run));
    return {points};
  }

  private async measure(run: number): Promise<object> {
    const fleet = await FootprintFleet.start();
    try {
      await pause(IDLE_MILLIS);
      const {entry, agent} = await fleet.counters();
      return {
        run,
        entryMegabytes: entry.residentMegabytes,
        agentMegabytes: agent.residentMegabytes,
      };
    } finally {
      await fleet.close();
    }
  }
}

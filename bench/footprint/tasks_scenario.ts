import {pause} from '../fleet/wait_until.js';
import {FootprintFleet} from './footprint_fleet.js';
import type {FootprintScenario, ScenarioReport} from './footprint_scenario.js';
import {fitStraightLine} from './straight_line.js';

const AGENTS = 100;
const STEP_TASKS = 600;
const STEPS = 4;
const TASKS_A_JOB = 35;
const TEAMS = 40;
const RUN_MILLIS = 600_000;
const SETTLE_MILLIS = 20_000;

/** Memory of one entry against the tasks that run under its two shards. */
export class TasksScenario implements FootprintScenario {
  async run(): Promise<ScenarioReport> {
    const fleet = await FootprintFleet.start();
    try {
      await fleet.addSimulatedAgents(AGENTS);
      return await this.measure(fleet);
    } finally {
      await fleet.close();
    }
  }

  private async measure(fleet: FootprintFleet): Promise<ScenarioReport> {
    const points = [await this.point(fleet, 0)];
    let jobs = 0;
    for (let step = 1; step <= STEPS; step++) {
      for (; jobs * TASKS_A_JOB < step * STEP_TASKS; jobs++) {
        await this.submit(fleet, jobs);
      }
      points.push(await this.point(fleet, jobs * TASKS_A_JOB));
    }
    const line = fitStraightLine(
      points.map(({tasks, entryMegabytes}) => ({x: tasks, y: entryMegabytes})),
    );
    const slope = (line.slope * 1_000).toFixed(2);
    const residual = line.residual.toFixed(2);
    return {
      points,
      notes: [`${slope} MB for each 1,000 tasks, residual ${residual} MB`],
    };
  }

  private async submit(fleet: FootprintFleet, number: number): Promise<void> {
    const path = `/v1/teams/team-${number % TEAMS}/jobs`;
    await fleet.api.submit(path, {
      name: `tasks-${number}`,
      tasks: TASKS_A_JOB,
      milliprocessors: 100,
      memoryMegabytes: 100,
      expectedRunMillis: RUN_MILLIS,
      payload: JSON.stringify({runMillis: RUN_MILLIS}),
    });
  }

  private async point(fleet: FootprintFleet, tasks: number) {
    await pause(SETTLE_MILLIS);
    const {entry, starts} = await fleet.counters();
    return {tasks, starts, entryMegabytes: entry.residentMegabytes};
  }
}

import {pause} from '../fleet/wait_until.js';
import {summarizeDelays} from './delays.js';
import {EntriesFleet} from './entries_fleet.js';
import {measureWindow} from './fleet_window.js';
import {JobSource} from './job_source.js';
import type {FootprintScenario, ScenarioReport} from './footprint_scenario.js';
import {UrgentSource} from './urgent_source.js';

const ENTRIES = 6;
const AGENTS = 400;
const SETTLE_MILLIS = 8_000;
const WINDOW_MILLIS = 10_000;
const STARTS_A_SECOND = [210, 420];
const URGENT_MILLIS = 20_000;
const LAST_STARTS_MILLIS = 4_000;

/** Six entries idle, with 400 agents, and with starts and urgent work. */
export class EntriesScenario implements FootprintScenario {
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
    await pause(SETTLE_MILLIS);
    const points: object[] = [
      await measureWindow(fleet, 'idle', WINDOW_MILLIS),
    ];
    await fleet.addSimulatedAgents(AGENTS);
    await pause(SETTLE_MILLIS);
    points.push(await measureWindow(fleet, `${AGENTS} agents`, WINDOW_MILLIS));
    for (const rate of STARTS_A_SECOND) {
      points.push(await this.measureStarts(fleet, rate));
    }
    const quiet = new UrgentSource(fleet.apis, 'quiet');
    await quiet.run(URGENT_MILLIS);
    const busy = new UrgentSource(fleet.apis, 'busy');
    const rate = STARTS_A_SECOND.at(-1)!;
    const {refused} = await this.underStarts(fleet, rate, URGENT_MILLIS, () =>
      busy.run(URGENT_MILLIS),
    );
    await pause(LAST_STARTS_MILLIS);
    const starts = fleet.urgentStarts();
    return {
      points,
      delays: [
        summarizeDelays(
          'urgent job alone, until started',
          quiet.delays(starts),
        ),
        summarizeDelays(`beside ${rate} a second`, busy.delays(starts)),
      ],
      notes: [
        `${refused} submissions of normal jobs were refused beside the urgent ones`,
        `${quiet.refused + busy.refused} submissions of urgent jobs were refused`,
      ],
    };
  }

  private async measureStarts(
    fleet: EntriesFleet,
    rate: number,
  ): Promise<object> {
    let found: object = {};
    const {refused} = await this.underStarts(
      fleet,
      rate,
      WINDOW_MILLIS,
      async () => {
        found = await measureWindow(
          fleet,
          `${rate} starts asked`,
          WINDOW_MILLIS,
        );
      },
    );
    return {...found, refused};
  }

  /** Runs the measure in the midst of as many starts a second. */
  private async underStarts(
    fleet: EntriesFleet,
    rate: number,
    durationMillis: number,
    measure: () => Promise<void>,
  ): Promise<{refused: number}> {
    const sources = fleet.apis.map(
      (api, index) => new JobSource(api, `rate-${rate}-${index}-${Date.now()}`),
    );
    const load = sources.map(source =>
      source.run(rate / sources.length, SETTLE_MILLIS + durationMillis),
    );
    await pause(SETTLE_MILLIS);
    await measure();
    await Promise.all(load);
    const refused = sources.reduce((sum, source) => sum + source.refused, 0);
    return {refused};
  }
}

import {parseArgs} from 'node:util';
import type {EntryApi} from '../fleet/entry_api.js';
import {pause} from '../fleet/wait_until.js';
import {FootprintFleet} from './footprint_fleet.js';
import type {Counters} from './footprint_fleet.js';
import {SCENARIOS} from './footprint_scenarios.js';
import {JobSource} from './job_source.js';
import {fitStraightLine} from './straight_line.js';

/**
 * Usage: npm run measure:footprint [-- [--scenario NAME] [--json]]. Without a
 * scenario it prints what one entry and one agent use idle and at several
 * sizes, with the slopes. Bounded in time and in the number of processes;
 * everything is on loopback.
 */
const SETTLE_MILLIS = 4_000;
const WINDOW_MILLIS = 8_000;
const AGENT_STEPS = [50, 50, 100, 200];
const START_RATES = [20, 50, 70];
const AGENTS_UNDER_STARTS = 100;
/** The fleet's budget of writes shared by six entries. */
const WRITES_OF_ONE_IN_SIX = 33;
const BRANCH_COUNTS = [100, 400];
const LONG_TASKS = 24;
const LONG_RUN_MILLIS = 600_000;
const MILLIS_A_SECOND = 1_000;

/** What was used in one window; rates are a second. */
interface Measurement {
  readonly point: string;
  readonly agents: number;
  readonly branches: number;
  readonly entryCorePercent: number;
  readonly entryMegabytes: number;
  readonly agentCorePercent: number;
  readonly agentMegabytes: number;
  readonly agentBytes: number;
  readonly startBytes: number;
  readonly storeBytes: number;
  readonly writes: number;
  readonly reads: number;
  readonly leaseCalls: number;
  readonly watches: number;
  readonly heartbeats: number;
  readonly starts: number;
}

type Column = Exclude<keyof Measurement, 'point'>;

/** What is fitted against what, in which series. */
const LINES: ReadonlyArray<readonly [string, Column, readonly Column[]]> = [
  ['agents', 'heartbeats', ['entryCorePercent', 'agentBytes']],
  ['agents', 'agents', ['entryMegabytes', 'heartbeats']],
  [
    'starts',
    'starts',
    [
      'entryCorePercent',
      'entryMegabytes',
      'agentBytes',
      'startBytes',
      'storeBytes',
      'writes',
      'reads',
    ],
  ],
  ['branches', 'branches', ['entryCorePercent', 'entryMegabytes', 'reads']],
];

class FootprintRun {
  private readonly measurements = new Map<string, Measurement[]>();

  async run(): Promise<void> {
    await this.withFleet(fleet => this.measureAgents(fleet));
    await this.withFleet(fleet => this.measureStarts(fleet));
    await this.withFleet(fleet => this.measureWithinBudget(fleet), {
      writesPerSecond: WRITES_OF_ONE_IN_SIX,
    });
  }

  print(json: boolean): void {
    const series = Object.fromEntries(this.measurements);
    if (json) return console.log(JSON.stringify({series, lines: this.lines()}));
    for (const [name, measurements] of this.measurements) {
      console.log(`\n${name}`);
      console.table(measurements.map(rounded));
    }
    console.log('\nslopes: least squares; residual: the largest distance');
    console.table(this.lines());
  }

  private async withFleet(
    measure: (fleet: FootprintFleet) => Promise<void>,
    options: {writesPerSecond?: number} = {},
  ): Promise<void> {
    const fleet = await FootprintFleet.start(options);
    const stop = () => void fleet.close().then(() => process.exit(1));
    process.once('SIGTERM', stop).once('SIGINT', stop);
    try {
      await measure(fleet);
    } finally {
      process.off('SIGTERM', stop).off('SIGINT', stop);
      await fleet.close();
    }
  }

  private async measureAgents(fleet: FootprintFleet): Promise<void> {
    await this.measure(fleet, 'agents', 'idle', {agents: 1, branches: 0});
    await this.runTasksOnAgent(fleet);
    let agents = 1;
    for (const step of AGENT_STEPS) {
      await fleet.addSimulatedAgents(step);
      agents += step;
      await this.measure(fleet, 'agents', `${agents} agents`, {
        agents,
        branches: 0,
      });
    }
  }

  /** Loads the one agent of the daemon as each would be at the target. */
  private async runTasksOnAgent(fleet: FootprintFleet): Promise<void> {
    const source = new JobSource(fleet.api);
    const load = source.run(1, SETTLE_MILLIS + WINDOW_MILLIS);
    await this.measure(fleet, 'one agent', '1 start a second', {
      agents: 1,
      branches: 0,
    });
    await load;
    await fleet.api.post('/v1/teams/team-0/jobs', {
      name: 'long-tasks',
      tasks: LONG_TASKS,
      milliprocessors: 100,
      memoryMegabytes: 100,
      expectedRunMillis: LONG_RUN_MILLIS,
      payload: JSON.stringify({runMillis: LONG_RUN_MILLIS}),
    });
    await this.measure(fleet, 'one agent', `${LONG_TASKS} tasks`, {
      agents: 1,
      branches: 0,
    });
    await fleet.api.post('/v1/teams/team-0/jobs/long-tasks/cancel');
  }

  private async measureStarts(fleet: FootprintFleet): Promise<void> {
    await fleet.addSimulatedAgents(AGENTS_UNDER_STARTS);
    const agents = 1 + AGENTS_UNDER_STARTS;
    let branches = 0;
    await this.measure(fleet, 'branches', 'no branch', {agents, branches});
    await this.measure(fleet, 'starts', 'no starts', {agents, branches});
    const source = new JobSource(fleet.api);
    for (const rate of START_RATES) {
      const load = source.run(rate, SETTLE_MILLIS + WINDOW_MILLIS);
      await this.measure(fleet, 'starts', `${rate} asked`, {agents, branches});
      await load;
    }
    console.error(`${source.refused} submissions were refused`);
    for (const count of BRANCH_COUNTS) {
      for (; branches < count; branches++) await putBranch(fleet.api, branches);
      await this.measure(fleet, 'branches', `${count} branches`, {
        agents,
        branches,
      });
    }
  }

  /** The highest rate again, with no more writes than an entry's share. */
  private async measureWithinBudget(fleet: FootprintFleet): Promise<void> {
    await fleet.addSimulatedAgents(AGENTS_UNDER_STARTS);
    const agents = 1 + AGENTS_UNDER_STARTS;
    const rate = START_RATES.at(-1)!;
    const source = new JobSource(fleet.api);
    const load = source.run(rate, SETTLE_MILLIS + WINDOW_MILLIS);
    const point = `${rate} asked, ${WRITES_OF_ONE_IN_SIX} writes`;
    await this.measure(fleet, 'within budget', point, {agents, branches: 0});
    await load;
    console.error(`${source.refused} submissions were refused`);
  }

  private async measure(
    fleet: FootprintFleet,
    series: string,
    point: string,
    size: {agents: number; branches: number},
  ): Promise<void> {
    await pause(SETTLE_MILLIS);
    const before = await fleet.counters();
    await pause(WINDOW_MILLIS);
    const after = await fleet.counters();
    const found = this.measurements.get(series) ?? [];
    found.push(compare(before, after, point, size));
    this.measurements.set(series, found);
    console.error(`measured ${series}: ${point}`);
  }

  private lines(): object[] {
    const found: object[] = [];
    for (const [series, x, columns] of LINES) {
      const measurements = this.measurements.get(series) ?? [];
      for (const column of columns) {
        const line = fitStraightLine(
          measurements.map(each => ({x: each[x], y: each[column]})),
        );
        found.push({series, column, against: x, ...rounded(line)});
      }
    }
    return found;
  }
}

async function putBranch(api: EntryApi, number: number): Promise<void> {
  const text = '[quota]\nrunning_tasks = 200\n';
  await api.putSettings(`branch-${number}`, text, 0);
}

function compare(
  before: Counters,
  after: Counters,
  point: string,
  size: {agents: number; branches: number},
): Measurement {
  const seconds = (after.atMillis - before.atMillis) / MILLIS_A_SECOND;
  const calls = (paths: readonly string[]) =>
    paths.reduce((total, path) => {
      const from = before.storeCalls[path] ?? 0;
      return total + (after.storeCalls[path] ?? 0) - from;
    }, 0) / seconds;
  const corePercent = (role: 'entry' | 'agent') => {
    const used = after[role].processorSeconds - before[role].processorSeconds;
    return (100 * used) / seconds;
  };
  return {
    point,
    ...size,
    entryCorePercent: corePercent('entry'),
    entryMegabytes: after.entry.residentMegabytes,
    agentCorePercent: corePercent('agent'),
    agentMegabytes: after.agent.residentMegabytes,
    agentBytes: (after.agentBytes - before.agentBytes) / seconds,
    startBytes: (after.startBytes - before.startBytes) / seconds,
    storeBytes: (after.storeBytes - before.storeBytes) / seconds,
    writes: calls(['/v3/kv/txn', '/v3/kv/put', '/v3/kv/deleterange']),
    reads: calls(['/v3/kv/range']),
    leaseCalls: calls([
      '/v3/lease/grant',
      '/v3/lease/keepalive',
      '/v3/lease/revoke',
    ]),
    watches: calls(['/v3/watch']),
    heartbeats: (after.heartbeats - before.heartbeats) / seconds,
    starts: (after.starts - before.starts) / seconds,
  };
}

function rounded<Row extends object>(row: Row): object {
  const entries = Object.entries(row).map(([name, value]) => [
    name,
    typeof value === 'number' ? Number(value.toPrecision(3)) : value,
  ]);
  return Object.fromEntries(entries) as object;
}

async function runScenario(name: string, json: boolean): Promise<void> {
  const scenario = SCENARIOS.get(name);
  if (!scenario) {
    const known = [...SCENARIOS.keys()].join(', ');
    throw new Error(`no scenario ${name}; known are ${known}`);
  }
  const report = await scenario.run();
  if (json) return console.log(JSON.stringify(report));
  console.table(report.points.map(rounded));
  if (report.delays) console.table(report.delays);
  for (const note of report.notes ?? []) console.log(note);
}

const {values: words} = parseArgs({
  options: {
    scenario: {type: 'string'},
    json: {type: 'boolean', default: false},
  },
});
if (words.scenario) {
  await runScenario(words.scenario, words.json);
} else {
  const run = new FootprintRun();
  await run.run();
  run.print(words.json);
}

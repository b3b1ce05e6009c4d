import {defineCommand, runMain} from 'citty';
import {formatResult} from './bench_printer.js';
import {measure} from './micro/micro_runner.js';
import {microBenchmarks, scenarios} from './scenarios.js';

/**
 * Runs the decision classes in virtual time against baselines on the same
 * trace. The same seed gives the same figures; `--micro` measures real time.
 */
const command = defineCommand({
  meta: {
    name: 'bench',
    description: 'Measures the decisions against plain alternatives.',
  },
  args: {
    scenario: {
      type: 'string',
      description: 'Run only scenarios whose name contains this text.',
      default: '',
    },
    seed: {
      type: 'string',
      description: 'Seed of the run, or several with commas between them.',
      default: '1',
    },
    json: {type: 'boolean', description: 'Print one JSON line a scenario.'},
    micro: {type: 'boolean', description: 'Measure single decisions instead.'},
    list: {type: 'boolean', description: 'List the scenarios and stop.'},
  },
  async run({args}) {
    const seeds = args.seed.split(',').map(parseSeed);
    const json = Boolean(args.json);
    if (args.list) return list();
    for (const seed of seeds) {
      if (args.micro) runMicro(args.scenario, seed, json);
      else await runScenarios(args.scenario, seed, json);
    }
  },
});

function parseSeed(text: string): number {
  const seed = Number(text);
  if (text !== '' && Number.isSafeInteger(seed)) return seed;
  throw new Error(`A seed must be a whole number, not "${text}".`);
}

function list(): void {
  for (const {name, description} of [...scenarios, ...microBenchmarks]) {
    console.log(`${name}: ${description}`);
  }
}

async function runScenarios(
  text: string,
  seed: number,
  json: boolean,
): Promise<void> {
  const chosen = scenarios.filter(({name}) => name.includes(text));
  if (chosen.length === 0) throw new Error(`No scenario's name has "${text}".`);
  for (const scenario of chosen) {
    const result = await scenario.run(seed);
    const line = json
      ? JSON.stringify({scenario: scenario.name, seed, ...result})
      : formatResult(scenario, seed, result);
    console.log(line);
  }
}

function runMicro(text: string, seed: number, json: boolean): void {
  for (const benchmark of microBenchmarks) {
    if (!benchmark.name.includes(text)) continue;
    const {medianMicros, p99Micros} = measure(benchmark, seed);
    const {name, targetMicros} = benchmark;
    const verdict = medianMicros <= targetMicros ? 'met' : 'NOT MET';
    const line = json
      ? JSON.stringify({name, medianMicros, p99Micros, targetMicros})
      : `${name}: median ${medianMicros.toFixed(2)} µs, ` +
        `p99 ${p99Micros.toFixed(2)} µs (at most ${targetMicros}: ${verdict})`;
    console.log(line);
  }
}

await runMain(command);

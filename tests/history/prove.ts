/**
 * Runs fleets under random faults, or under all pairs of faults, and judges
 * their histories. A plan that violates a point is shrunk.
 *
 * Usage: node prove.js [--seeds N] [--pairs [--part K/N]] [--first-seed N]
 *   [--json]
 */
import {randomInt} from 'node:crypto';
import {parseArgs} from 'node:util';
import {drawPlan} from './draw_plan.js';
import type {PlannedFault} from './fault_injector.js';
import {allPairs, runPair} from './fault_pairs.js';
import {runFleet} from './fleet_run.js';
import type {Violation} from './history.js';
import {PairTable} from './pair_table.js';
import {ProofTable} from './proof_table.js';
import {shrinkPlan} from './shrink_plan.js';

const SEED_BOUND = 2 ** 30;
const PROGRESS_EVERY = 50;

const {values} = parseArgs({
  options: {
    seeds: {type: 'string', default: '100'},
    pairs: {type: 'boolean', default: false},
    part: {type: 'string', default: '1/1'},
    'first-seed': {type: 'string'},
    json: {type: 'boolean', default: false},
  },
});
const firstSeed = Number(values['first-seed'] ?? randomInt(SEED_BOUND));
const table = values.pairs ? await provePairs() : await proveSeeds();
if (values.json) console.log(JSON.stringify(table.toJson()));
else console.log(table.render());
process.exit(table.violations === 0 ? 0 : 1);

async function proveSeeds(): Promise<ProofTable> {
  const table = new ProofTable();
  const seeds = Number(values.seeds);
  for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
    const plan = drawPlan(seed);
    const result = await runFleet(seed, plan);
    table.note(result);
    await report(seed, plan, result.violations);
    noteProgress(seed - firstSeed + 1, seeds);
  }
  return table;
}

async function provePairs(): Promise<PairTable> {
  const table = new PairTable();
  const [part, parts] = values.part.split('/').map(Number);
  const pairs = allPairs().filter(({index}) => index % parts === part - 1);
  for (const [done, pair] of pairs.entries()) {
    const run = await runPair(pair, firstSeed);
    table.note(pair, run);
    await report(run.seed, pair.plan, run.violations);
    noteProgress(done + 1, pairs.length);
  }
  return table;
}

/** Tells of violations, and of the fewest faults that bring them about. */
async function report(
  seed: number,
  plan: readonly PlannedFault[],
  violations: readonly Violation[],
): Promise<void> {
  if (violations.length === 0) return;
  console.error(`seed ${seed}: ${JSON.stringify(plan)}`);
  for (const violation of violations) {
    console.error(`  ${violation.point}: ${violation.message}`);
    for (const event of violation.excerpt) {
      console.error(`    ${JSON.stringify(event)}`);
    }
  }
  const points = new Set(violations.map(({point}) => point));
  const shrunk = await shrinkPlan(plan, async smaller => {
    const again = await runFleet(seed, smaller);
    return again.violations.some(({point}) => points.has(point));
  });
  console.error(`  seed ${seed} shrunk: ${JSON.stringify(shrunk)}`);
}

function noteProgress(done: number, all: number): void {
  if (done % PROGRESS_EVERY === 0) console.error(`${done} of ${all} runs`);
}

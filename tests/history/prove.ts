/**
 * Runs fleets under random faults and judges their histories.
 *
 * Usage: node prove.js [--seeds N] [--first-seed N] [--json]
 */
import {randomInt} from 'node:crypto';
import {parseArgs} from 'node:util';
import {drawPlan} from './draw_plan.js';
import {runFleet} from './fleet_run.js';
import {ProofTable} from './proof_table.js';

const SEED_BOUND = 2 ** 30;
const PROGRESS_EVERY = 50;

const {values} = parseArgs({
  options: {
    seeds: {type: 'string', default: '100'},
    'first-seed': {type: 'string'},
    json: {type: 'boolean', default: false},
  },
});
const seeds = Number(values.seeds);
const firstSeed = Number(values['first-seed'] ?? randomInt(SEED_BOUND));
const table = new ProofTable();
for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
  const plan = drawPlan(seed);
  const result = await runFleet(seed, plan);
  table.note(result);
  const done = seed - firstSeed + 1;
  if (done % PROGRESS_EVERY === 0) console.error(`${done} of ${seeds} runs`);
  if (result.violations.length === 0) continue;
  console.error(`seed ${seed}: ${JSON.stringify(plan)}`);
  for (const violation of result.violations) {
    console.error(`  ${violation.point}: ${violation.message}`);
    for (const event of violation.excerpt) {
      console.error(`    ${JSON.stringify(event)}`);
    }
  }
}
if (values.json) console.log(JSON.stringify(table.toJson()));
else console.log(table.render());
process.exit(table.violations === 0 ? 0 : 1);

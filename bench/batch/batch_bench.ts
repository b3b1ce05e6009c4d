import {parseArgs} from 'node:util';
import {ASANTEWAA, BATCH_SCENARIOS, SFAX} from './batch_scenarios.js';
import {compareBatch} from './compare_batch.js';
import type {BatchFigures} from './compare_batch.js';

/** Prints product next to baseline for the batch scenarios. */

const DEFAULT_SEED = '1';

function main(): void {
  const {values} = parseArgs({
    options: {
      scenario: {type: 'string'},
      seed: {type: 'string', default: DEFAULT_SEED},
    },
  });
  const seed = Number(values.seed);
  for (const fleet of [ASANTEWAA, SFAX]) {
    for (const scenario of BATCH_SCENARIOS) {
      if (values.scenario && values.scenario !== scenario.name) continue;
      console.log(`${scenario.name} on ${fleet.name}: ${scenario.title}`);
      for (const figures of compareBatch(scenario, fleet, seed)) {
        console.log(`  ${line(figures)}`);
      }
    }
  }
}

function line(figures: BatchFigures): string {
  const parts = [
    figures.run.padEnd(10),
    `tasks ${figures.finishedTasks}`,
    `work ${figures.finishedWork.toFixed(0)}`,
    `wasted ${percent(figures.wastedShare)}`,
    `late ${percent(figures.lateShare)}`,
    `evicted ${figures.evictions}`,
    `failed ${figures.failedAttempts}`,
    `lost ${figures.lostAttempts}`,
    `refused ${percent(figures.refusedShare)}`,
    `wait p50 ${figures.waitMedianMillis.toFixed(0)} ms`,
    `urgent p99 ${figures.urgentTailMillis.toFixed(0)} ms`,
    `of reference ${percent(figures.workShare)}`,
    `per capacity left ${percent(figures.workShareOfLeft)}`,
    `while out ${percent(figures.faultWorkShare)}`,
    `back after ${figures.backAfterSeconds} s`,
  ];
  return parts.join(', ');
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

main();

import {isMet} from './scenario.js';
import type {Scenario, ScenarioRatio, ScenarioResult} from './scenario.js';

const VARIANT_WIDTH = 24;
const FIGURE_WIDTH = 12;

/** The result of a scenario as a text table, ratios below. */
export function formatResult(
  scenario: Scenario,
  seed: number,
  result: ScenarioResult,
): string {
  const lines = [`\n${scenario.name} (seed ${seed}): ${scenario.description}`];
  const names = Object.keys(result.rows[0]?.figures ?? {});
  const heads = names.map(name => name.padStart(FIGURE_WIDTH));
  lines.push(' '.repeat(VARIANT_WIDTH) + heads.join(''));
  for (const {variant, figures} of result.rows) {
    const cells = names.map(name => formatFigure(figures[name]));
    lines.push(variant.padEnd(VARIANT_WIDTH) + cells.join(''));
  }
  for (const ratio of result.ratios) lines.push(formatRatio(ratio));
  return lines.join('\n');
}

function formatFigure(value: number | undefined): string {
  if (value === undefined) return '-'.padStart(FIGURE_WIDTH);
  const text = Number.isInteger(value) ? String(value) : value.toPrecision(4);
  return text.padStart(FIGURE_WIDTH);
}

function formatRatio(ratio: ScenarioRatio): string {
  const {name, value, atMost, atLeast} = ratio;
  const text = `  ${name}: ${value.toFixed(3)}`;
  if (atMost === undefined && atLeast === undefined) return text;
  const target =
    atMost !== undefined ? `at most ${atMost}` : `at least ${atLeast}`;
  return `${text} (${target}: ${isMet(ratio) ? 'met' : 'NOT MET'})`;
}

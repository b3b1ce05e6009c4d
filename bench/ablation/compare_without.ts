import type {ScenarioResult, ScenarioRow} from '../scenario.js';

type Figures = ScenarioRow['figures'];

/** The product's row and that without a policy, and their ratios. */
export function compareWithout(
  policy: string,
  product: Figures,
  without: Figures,
  compared: readonly string[],
): ScenarioResult {
  return {
    rows: [
      {variant: 'product', figures: product},
      {variant: `without ${policy}`, figures: without},
    ],
    ratios: compared.map(figure => ({
      name: `${figure} without it against the product`,
      value: ratio(without[figure], product[figure]),
    })),
  };
}

/** 1 where neither has any. */
function ratio(without: number, product: number): number {
  return without === product ? 1 : without / product;
}

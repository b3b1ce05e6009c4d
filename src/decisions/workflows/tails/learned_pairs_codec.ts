import type {LearnedPair} from '../image_interference.js';

/** Bounds the record to some tens of kilobytes. */
const MAXIMUM_PAIRS = 500;
const DECIMALS = 2;

/** Encodes pairs as rows; if there are too many, the least certain are left out. */
export function encodeLearnedPairs(pairs: readonly LearnedPair[]): string {
  const kept = [...pairs]
    .sort((left, right) => left.variance - right.variance)
    .slice(0, MAXIMUM_PAIRS);
  return JSON.stringify(
    kept.map(pair => [
      pair.latencyCriticalImage,
      pair.bestEffortImage,
      Number(pair.interference.toFixed(DECIMALS)),
      Number(pair.variance.toFixed(DECIMALS)),
    ]),
  );
}

/** Returns undefined if the text is not a valid record. */
export function decodeLearnedPairs(text: string): LearnedPair[] | undefined {
  const rows = parseRows(text);
  if (!rows) return undefined;
  const pairs: LearnedPair[] = [];
  for (const row of rows.slice(0, MAXIMUM_PAIRS)) {
    const pair = pairOf(row);
    if (!pair) return undefined;
    pairs.push(pair);
  }
  return pairs;
}

function parseRows(text: string): unknown[] | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return Array.isArray(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

function pairOf(row: unknown): LearnedPair | undefined {
  if (!Array.isArray(row)) return undefined;
  const [latencyCriticalImage, bestEffortImage, interference, variance] =
    row as unknown[];
  if (typeof latencyCriticalImage !== 'string') return undefined;
  if (typeof bestEffortImage !== 'string') return undefined;
  if (!isNotNegative(interference) || !isNotNegative(variance)) {
    return undefined;
  }
  return {latencyCriticalImage, bestEffortImage, interference, variance};
}

function isNotNegative(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

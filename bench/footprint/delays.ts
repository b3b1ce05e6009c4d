const MEDIAN = 0.5;
const TAIL = 0.99;

/** Delays of one kind, summed up. */
export interface DelaySummary {
  readonly what: string;
  readonly count: number;
  readonly medianMillis: number;
  readonly tailMillis: number;
  readonly longestMillis: number;
}

/** Median, 99th percentile and longest of the delays. */
export function summarizeDelays(
  what: string,
  delays: readonly number[],
): DelaySummary {
  const sorted = [...delays].sort((left, right) => left - right);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
  return {
    what,
    count: sorted.length,
    medianMillis: Math.round(at(MEDIAN)),
    tailMillis: Math.round(at(TAIL)),
    longestMillis: Math.round(at(1)),
  };
}

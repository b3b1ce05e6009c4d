/** What the bench runs and prints. */

/** One variant of a scenario: the product, a baseline or a bound. */
export interface ScenarioRow {
  readonly variant: string;
  readonly figures: Readonly<Record<string, number>>;
}

/** A figure of the product against that of another variant of the same run. */
export interface ScenarioRatio {
  /** Such as `p99 against central queue`. */
  readonly name: string;
  readonly value: number;
  /** The ratio's target, when it has one. */
  readonly atMost?: number;
  readonly atLeast?: number;
}

export interface ScenarioResult {
  readonly rows: readonly ScenarioRow[];
  readonly ratios: readonly ScenarioRatio[];
}

/** Runs in virtual time; the same seed gives the same figures. */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  run(seed: number): ScenarioResult | Promise<ScenarioResult>;
}

/** Measures one decision in real time. */
export interface MicroBenchmark {
  readonly name: string;
  readonly description: string;
  /** Target for the median, in microseconds. */
  readonly targetMicros: number;
  /** Makes the state and returns the decision to be measured. */
  prepare(seed: number): () => void;
}

/** Whether the ratio keeps to its target; true when it has none. */
export function isMet({value, atMost, atLeast}: ScenarioRatio): boolean {
  if (atMost !== undefined && !(value <= atMost)) return false;
  return atLeast === undefined || value >= atLeast;
}

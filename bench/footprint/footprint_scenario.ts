import type {DelaySummary} from './delays.js';

/** What a scenario found. */
export interface ScenarioReport {
  /** A table, one row for each point. */
  readonly points: readonly object[];
  readonly delays?: readonly DelaySummary[];
  readonly notes?: readonly string[];
}

/** One measurement that the command runs by its name. */
export interface FootprintScenario {
  run(): Promise<ScenarioReport>;
}

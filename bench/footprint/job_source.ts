import type {EntryApi} from '../fleet/entry_api.js';
import {pause} from '../fleet/wait_until.js';

const TASKS_A_JOB = 5;
const TASK_RUN_MILLIS = 2_000;
const TEAMS = 40;
const MILLIS_A_SECOND = 1_000;

/** Submits small jobs of many teams at a steady rate of tasks. */
export class JobSource {
  private number = 0;
  private refusals = 0;

  constructor(
    private readonly api: EntryApi,
    /** Keeps the names of several sources apart. */
    private readonly prefix = 'footprint',
  ) {}

  /** Submissions that were not accepted. */
  get refused(): number {
    return this.refusals;
  }

  /** Submits until the time is over. */
  async run(tasksPerSecond: number, durationMillis: number): Promise<void> {
    const period = (TASKS_A_JOB * MILLIS_A_SECOND) / tasksPerSecond;
    const startedAt = performance.now();
    const open: Promise<void>[] = [];
    for (let due = 0; due < durationMillis; due += period) {
      await pause(Math.max(0, startedAt + due - performance.now()));
      open.push(this.submit());
    }
    await Promise.all(open);
  }

  private async submit(): Promise<void> {
    const number = this.number++;
    try {
      await this.api.post(`/v1/teams/team-${number % TEAMS}/jobs`, {
        name: `${this.prefix}-${number}`,
        tasks: TASKS_A_JOB,
        milliprocessors: 100,
        memoryMegabytes: 100,
        expectedRunMillis: TASK_RUN_MILLIS,
        payload: JSON.stringify({runMillis: TASK_RUN_MILLIS}),
      });
    } catch {
      this.refusals++;
    }
  }
}

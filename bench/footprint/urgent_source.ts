import type {EntryApi} from '../fleet/entry_api.js';
import {pause} from '../fleet/wait_until.js';

const PERIOD_MILLIS = 125;
const RUN_MILLIS = 1_000;

/** Submits urgent jobs of one task each, and knows when. */
export class UrgentSource {
  private readonly submitted = new Map<string, number>();
  private refusals = 0;

  constructor(
    private readonly apis: readonly EntryApi[],
    private readonly prefix: string,
  ) {}

  /** Submissions that were not accepted. */
  get refused(): number {
    return this.refusals;
  }

  /** Submits to each entry in turn until the time is over. */
  async run(durationMillis: number): Promise<void> {
    const endsAt = performance.now() + durationMillis;
    const open: Promise<void>[] = [];
    for (let number = 0; performance.now() < endsAt; number++) {
      const api = this.apis[number % this.apis.length];
      open.push(this.submit(api, `${this.prefix}-${number}`));
      await pause(PERIOD_MILLIS);
    }
    await Promise.all(open);
  }

  /** Milliseconds from each submission to the start; Infinity for none. */
  delays(starts: ReadonlyMap<string, number>): number[] {
    return [...this.submitted].map(
      ([name, submittedAt]) => (starts.get(name) ?? Infinity) - submittedAt,
    );
  }

  private async submit(api: EntryApi, name: string): Promise<void> {
    const submittedAt = Date.now();
    try {
      await api.post(`/v1/teams/team-${name}/jobs`, {
        name,
        urgency: 'urgent',
        tasks: 1,
        milliprocessors: 100,
        memoryMegabytes: 100,
        expectedRunMillis: RUN_MILLIS,
        payload: JSON.stringify({runMillis: RUN_MILLIS}),
      });
      this.submitted.set(name, submittedAt);
    } catch {
      this.refusals++;
    }
  }
}

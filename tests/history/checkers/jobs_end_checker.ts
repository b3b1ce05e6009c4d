import type {Checker, HistoryEvent, Violation} from '../history.js';

const ENDED_PHASES: ReadonlySet<string> = new Set([
  'finished',
  'failed',
  'held',
  'cancelled',
]);

/** When all faults are over and time has passed, no job waits any more. */
export class JobsEndChecker implements Checker {
  readonly point = 'jobs end';

  check(events: readonly HistoryEvent[]): Violation[] {
    const violations: Violation[] = [];
    for (const event of events) {
      if (event.type !== 'jobAtEnd') continue;
      if (ENDED_PHASES.has(event.phase)) continue;
      violations.push({
        point: this.point,
        message: `Job ${event.team}/${event.job} is ${event.phase}: ${event.summary}`,
        excerpt: [event],
      });
    }
    return violations;
  }
}

import {Checker, finding} from '../history.js';
import type {Finding, HistoryEvent} from '../history.js';

const ENDED_PHASES: ReadonlySet<string> = new Set([
  ...['finished', 'failed', 'held', 'cancelled'],
]);

/** When all faults are over and time has passed, no job waits any more. */
export class JobsEndChecker extends Checker {
  readonly point = 'jobs end';

  protected *judge(events: readonly HistoryEvent[]): Iterable<Finding> {
    for (const event of events) {
      if (event.type !== 'jobAtEnd') continue;
      const {team, job, phase, summary} = event;
      if (ENDED_PHASES.has(phase)) continue;
      yield finding(`Job ${team}/${job} is ${phase}: ${summary}`, event);
    }
  }
}

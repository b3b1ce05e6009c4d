import {taskKey} from '../history.js';
import type {Checker, HistoryEvent, Violation} from '../history.js';

/** A refusal that says "not run" is true, of requests, attempts and jobs. */
export class NotRunChecker implements Checker {
  readonly point = 'not run is true';

  check(events: readonly HistoryEvent[]): Violation[] {
    const refusals = new Map<string, HistoryEvent>();
    const runs = new Map<string, HistoryEvent>();
    for (const event of events) {
      const refused = refusedName(event);
      if (refused) refusals.set(refused, event);
      for (const name of runNames(event)) runs.set(name, event);
    }
    const violations: Violation[] = [];
    for (const [name, refusal] of refusals) {
      const run = runs.get(name);
      if (!run) continue;
      violations.push({
        point: this.point,
        message: `${name} was refused as not run, and ran.`,
        excerpt: [refusal, run],
      });
    }
    return violations;
  }
}

function refusedName(event: HistoryEvent): string | undefined {
  if (event.type === 'response' && event.outcome === 'notRun') {
    return `request ${event.requestId}`;
  }
  if (event.type === 'attemptClosed' && event.outcome === 'refused') {
    return `attempt ${taskKey(event.name)}/${event.attempt}`;
  }
  if (event.type === 'jobRefused') return `job ${event.team}/${event.job}`;
  return undefined;
}

function runNames(event: HistoryEvent): string[] {
  if (event.type === 'executorBegin') return [`request ${event.requestId}`];
  if (event.type !== 'taskStart') return [];
  const {team, job} = event.name;
  return [
    `attempt ${taskKey(event.name)}/${event.attempt}`,
    `job ${team}/${job}`,
  ];
}

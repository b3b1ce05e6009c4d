import {Checker, finding, taskKey} from '../history.js';
import type {Finding, HistoryEvent} from '../history.js';

/** A refusal that says "not run" is true, of requests, attempts and jobs. */
export class NotRunChecker extends Checker {
  readonly point = 'not run is true';

  protected *judge(events: readonly HistoryEvent[]): Iterable<Finding> {
    const refusals = new Map<string, HistoryEvent>();
    const runs = new Map<string, HistoryEvent>();
    for (const event of events) {
      const refused = refusedName(event);
      if (refused) refusals.set(refused, event);
      for (const name of runNames(event)) runs.set(name, event);
    }
    for (const [name, refusal] of refusals) {
      const run = runs.get(name);
      if (!run) continue;
      yield finding(`${name} was refused as not run, and ran.`, refusal, run);
    }
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
  const attempt = `attempt ${taskKey(event.name)}/${event.attempt}`;
  return [attempt, `job ${team}/${job}`];
}

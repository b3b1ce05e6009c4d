import {Checker, finding, taskKey} from '../history.js';
import type {EventOf, Finding, HistoryEvent} from '../history.js';

const MESSAGE = 'What is not idempotent ran again.';

/**
 * A request that is not idempotent runs at most once. The same holds for the
 * tasks of a job that is not idempotent, but that evicted work goes on.
 */
export class AtMostOnceChecker extends Checker {
  readonly point = 'at most once';

  protected *judge(events: readonly HistoryEvent[]): Iterable<Finding> {
    const once = new Set<string>();
    const runs = new Map<string, HistoryEvent>();
    const starts = new Map<string, EventOf<'taskStart'>>();
    const evicted = new Set<string>();
    for (const event of events) {
      if (event.type === 'invoke' && !event.idempotent) {
        once.add(event.requestId);
      }
      if (event.type === 'jobDeclared' && !event.idempotent) {
        once.add(`${event.team}/${event.job}`);
      }
      if (event.type === 'attemptClosed' && event.outcome === 'evicted') {
        evicted.add(`${taskKey(event.name)}/${event.attempt}`);
      }
      if (event.type === 'executorBegin' && once.has(event.requestId)) {
        const before = runs.get(event.requestId);
        if (before) yield finding(MESSAGE, before, event);
        runs.set(event.requestId, event);
      }
      if (event.type !== 'taskStart') continue;
      if (!once.has(`${event.name.team}/${event.name.job}`)) continue;
      const key = taskKey(event.name);
      const before = starts.get(key);
      starts.set(key, event);
      const resumed = before && evicted.has(`${key}/${before.attempt}`);
      if (before && !resumed) yield finding(MESSAGE, before, event);
    }
  }
}

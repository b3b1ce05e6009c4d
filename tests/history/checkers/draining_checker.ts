import {Checker, finding} from '../history.js';
import type {Finding, HistoryEvent} from '../history.js';

const GRACE_MILLIS = 5_000;

/** A few seconds after an upstream begins to shut down, it gets no new work. */
export class DrainingChecker extends Checker {
  readonly point = 'draining upstream';

  protected *judge(events: readonly HistoryEvent[]): Iterable<Finding> {
    const draining = new Map<string, HistoryEvent>();
    for (const event of events) {
      if (event.type === 'shutdownBegin' && event.vm !== '') {
        draining.set(event.vm, event);
      }
      if (event.type === 'processUp') draining.delete(event.process);
      if (event.type !== 'taskStart' && event.type !== 'executorBegin')
        continue;
      const begun = draining.get(event.vm);
      if (!begun || event.time - begun.time <= GRACE_MILLIS) continue;
      const message = `Upstream ${event.vm} got work while it shuts down.`;
      yield finding(message, begun, event);
    }
  }
}

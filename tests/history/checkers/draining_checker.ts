import type {Checker, HistoryEvent, Violation} from '../history.js';

const GRACE_MILLIS = 5_000;

/** A few seconds after an upstream begins to shut down, it gets no new work. */
export class DrainingChecker implements Checker {
  readonly point = 'draining upstream';

  check(events: readonly HistoryEvent[]): Violation[] {
    const violations: Violation[] = [];
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
      violations.push({
        point: this.point,
        message: `Upstream ${event.vm} got work while it shuts down.`,
        excerpt: [begun, event],
      });
    }
    return violations;
  }
}

import {Checker, finding} from '../history.js';
import type {Finding, HistoryEvent} from '../history.js';

const GRACE_MILLIS = 5_000;

/** No task starts in a failure domain a few seconds after it was taken out. */
export class FailureDomainChecker extends Checker {
  readonly point = 'failure domain out';

  protected *judge(events: readonly HistoryEvent[]): Iterable<Finding> {
    const domains = new Map<string, string>();
    const outSince = new Map<string, HistoryEvent>();
    for (const event of events) {
      if (event.type === 'workerUp') domains.set(event.vm, event.failureDomain);
      if (event.type === 'settingsAccepted' && event.branch === 'fleet') {
        const out = new Set(event.domainsOut);
        for (const domain of outSince.keys()) {
          if (!out.has(domain)) outSince.delete(domain);
        }
        for (const domain of out) {
          if (!outSince.has(domain)) outSince.set(domain, event);
        }
      }
      if (event.type !== 'taskStart') continue;
      const taken = outSince.get(domains.get(event.vm) ?? '');
      if (!taken || event.time - taken.time <= GRACE_MILLIS) continue;
      const place = `${event.vm} in a failure domain that is out`;
      yield finding(`A task started on ${place}.`, taken, event);
    }
  }
}

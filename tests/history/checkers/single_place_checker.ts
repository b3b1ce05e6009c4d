import {Checker, finding, taskKey} from '../history.js';
import type {EventOf, Finding, HistoryEvent} from '../history.js';
import {isEnd} from './capacity_checker.js';

/**
 * No task runs in two places at once, and none starts or finishes once more
 * when the store holds that it has finished. A task whose end the store never
 * learnt, since its VM was silent for longer than its lease, may start anew
 * unless its job is not idempotent, which another checker judges.
 */
export class SinglePlaceChecker extends Checker {
  readonly point = 'single place';

  protected *judge(events: readonly HistoryEvent[]): Iterable<Finding> {
    const running = new Map<string, EventOf<'taskStart'>>();
    const finished = new Map<string, HistoryEvent>();
    for (const event of events) {
      if (event.type === 'vmLost') {
        for (const [key, start] of running) {
          if (start.vm === event.vm) running.delete(key);
        }
      }
      if (event.type === 'taskStart') {
        const key = taskKey(event.name);
        const other = running.get(key) ?? finished.get(key);
        if (other) yield again(key, other, event);
        running.set(key, event);
      }
      if (event.type === 'attemptClosed' && event.outcome === 'finished') {
        const key = taskKey(event.name);
        const before = finished.get(key);
        if (before) yield again(key, before, event);
        finished.set(key, event);
      }
      if (!isEnd(event)) continue;
      const key = taskKey(event.name);
      if (running.get(key)?.vm === event.vm) running.delete(key);
    }
  }
}

function again(key: string, ...events: HistoryEvent[]): Finding {
  const when = 'while it ran or after it had finished';
  return finding(`Task ${key} started or finished ${when}.`, ...events);
}

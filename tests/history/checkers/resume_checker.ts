import {Checker, finding, taskKey} from '../history.js';
import type {EventOf, Finding, HistoryEvent, TaskName} from '../history.js';

/** Evicted work resumes once, from the checkpoint that the store holds. */
export class ResumeChecker extends Checker {
  readonly point = 'resume';

  protected *judge(events: readonly HistoryEvent[]): Iterable<Finding> {
    const closed = new Map<string, EventOf<'attemptClosed'>>();
    const started = new Map<string, HistoryEvent>();
    for (const event of events) {
      if (event.type === 'attemptClosed') {
        closed.set(attemptId(event.name, event.attempt), event);
      }
      if (event.type !== 'taskStart') continue;
      const id = attemptId(event.name, event.attempt);
      const twice = started.get(id);
      started.set(id, event);
      if (twice) yield finding(`Attempt ${id} started twice.`, twice, event);
      const before = closed.get(attemptId(event.name, event.attempt - 1));
      if (before?.outcome !== 'evicted') continue;
      if (event.doneMillis === before.checkpointMillis) continue;
      const message = `Attempt ${id} started elsewhere than at its checkpoint.`;
      yield finding(message, before, event);
    }
  }
}

function attemptId(name: TaskName, attempt: number): string {
  return `${taskKey(name)}/${attempt}`;
}

import {taskKey} from '../history.js';
import type {Checker, HistoryEvent, Violation} from '../history.js';

type Closed = Extract<HistoryEvent, {type: 'attemptClosed'}>;

/** Evicted work resumes once, from the checkpoint that the store holds. */
export class ResumeChecker implements Checker {
  readonly point = 'resume';

  check(events: readonly HistoryEvent[]): Violation[] {
    const violations: Violation[] = [];
    const closed = new Map<string, Closed>();
    const started = new Map<string, HistoryEvent>();
    for (const event of events) {
      if (event.type === 'attemptClosed') {
        closed.set(attemptId(event), event);
      }
      if (event.type !== 'taskStart') continue;
      const id = attemptId(event);
      const twice = started.get(id);
      started.set(id, event);
      if (twice) violations.push(this.violation(id, 'twice', twice, event));
      const before = closed.get(
        attemptId({...event, attempt: event.attempt - 1}),
      );
      if (before?.outcome !== 'evicted') continue;
      if (event.doneMillis === before.checkpointMillis) continue;
      violations.push(this.violation(id, 'from elsewhere', before, event));
    }
    return violations;
  }

  private violation(
    id: string,
    how: string,
    first: HistoryEvent,
    second: HistoryEvent,
  ): Violation {
    return {
      point: this.point,
      message: `Attempt ${id} started ${how} than its checkpoint.`,
      excerpt: [first, second],
    };
  }
}

function attemptId(event: {name: Closed['name']; attempt: number}): string {
  return `${taskKey(event.name)}/${event.attempt}`;
}

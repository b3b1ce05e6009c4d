import {Checker, finding} from '../history.js';
import type {EventOf, Finding, HistoryEvent} from '../history.js';

/** A caller gets the whole answer to its own request, and just one. */
export class WholeAnswerChecker extends Checker {
  readonly point = 'whole answer';

  protected *judge(events: readonly HistoryEvent[]): Iterable<Finding> {
    const invoked = new Map<string, EventOf<'invoke'>>();
    const answered = new Set<string>();
    for (const event of events) {
      if (event.type === 'invoke') invoked.set(event.requestId, event);
      if (event.type !== 'response') continue;
      const {requestId} = event;
      const request = invoked.get(requestId);
      const again = answered.has(requestId);
      answered.add(requestId);
      const own = answerBody(requestId, request?.body ?? '');
      const whole = event.outcome !== 'answered' || event.body === own;
      if (request && whole && !again) continue;
      const message = `Request ${requestId} got an answer that isn't its own.`;
      yield finding(message, ...(request ? [request] : []), event);
    }
  }
}

/** What executors answer to a request. */
export function answerBody(requestId: string, body: string): string {
  return JSON.stringify({requestId, echo: body});
}

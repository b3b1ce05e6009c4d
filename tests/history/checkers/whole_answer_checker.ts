import type {Checker, HistoryEvent, Violation} from '../history.js';

/** A caller gets the whole answer to its own request, and just one. */
export class WholeAnswerChecker implements Checker {
  readonly point = 'whole answer';

  check(events: readonly HistoryEvent[]): Violation[] {
    const violations: Violation[] = [];
    const invoked = new Map<string, HistoryEvent & {type: 'invoke'}>();
    const answered = new Set<string>();
    for (const event of events) {
      if (event.type === 'invoke') {
        invoked.set(event.requestId, event);
      }
      if (event.type !== 'response') continue;
      const request = invoked.get(event.requestId);
      const again = answered.has(event.requestId);
      answered.add(event.requestId);
      const own = answerBody(event.requestId, request?.body ?? '');
      const whole = event.outcome !== 'answered' || event.body === own;
      if (request && whole && !again) continue;
      violations.push({
        point: this.point,
        message: `Request ${event.requestId} got an answer that isn't its own.`,
        excerpt: request ? [request, event] : [event],
      });
    }
    return violations;
  }
}

/** What executors answer to a request. */
export function answerBody(requestId: string, body: string): string {
  return JSON.stringify({requestId, echo: body});
}

import {createHash} from 'node:crypto';
import type {
  ServeReply,
  ServeRequest,
} from '../protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../protocol/links.js';

/** How long a repeat of a request is recognised. */
const KEEP_MILLIS = 30_000;

interface KnownRequest {
  readonly answer: Promise<ServeReply>;
  readonly arrivedAt: number;
}

/**
 * Recognises repeats of requests that are not idempotent, so that each runs at
 * most once: a repeat gets the answer of the first.
 */
export class RepeatedRequests {
  /** In order of arrival. */
  private readonly known = new Map<string, KnownRequest>();

  /** The answer of the request's first arrival, else what `run` gives. */
  runOnce(
    request: ServeRequest,
    now: number,
    run: () => Promise<ServeReply>,
  ): Promise<ServeReply> {
    if (request.idempotent) return run();
    this.dropOld(now);
    const key = keyOf(request);
    const known = this.known.get(key);
    if (known) return known.answer;
    const answer = run();
    this.known.set(key, {answer, arrivedAt: now});
    // What did not run may be tried again.
    answer
      .then(reply => {
        if (reply.outcome === ServeOutcome.NOT_RUN) this.known.delete(key);
      })
      .catch(() => undefined);
    return answer;
  }

  private dropOld(now: number): void {
    for (const [key, {arrivedAt}] of this.known) {
      if (now - arrivedAt <= KEEP_MILLIS) return;
      this.known.delete(key);
    }
  }
}

/** Callers may choose like ids, so the content counts as well. */
function keyOf(request: ServeRequest): string {
  const {team, service, requestId, method, path, body} = request;
  const digest = createHash('sha256').update(body).digest('base64');
  return [team, service, requestId, method, path, digest].join('\n');
}

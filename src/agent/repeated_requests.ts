import {createHash} from 'node:crypto';
import {ResultCodes} from '../observability/result_codes.js';
import type {
  ServeReply,
  ServeRequest,
} from '../protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../protocol/links.js';

/** How long a repeat of a request is recognised. */
const KEEP_MILLIS = 30_000;

/** Bytes of answers that are kept for repeats. */
const KEEP_BYTES = 2 * 1024 * 1024;

interface KnownRequest {
  answer: Promise<ServeReply>;
  readonly arrivedAt: number;
  keptBytes: number;
}

/**
 * Recognises repeats of requests that are not idempotent, so that each runs at
 * most once: a repeat gets the answer of the first. When there are too many to
 * keep, a repeat hears that the request may have run.
 */
export class RepeatedRequests {
  /** In order of arrival. */
  private readonly known = new Map<string, KnownRequest>();
  private keptBytes = 0;

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
    const fresh = {answer, arrivedAt: now, keptBytes: 0};
    this.known.set(key, fresh);
    answer.then(
      reply => this.noteReply(key, fresh, reply),
      () => undefined,
    );
    return answer;
  }

  private noteReply(
    key: string,
    request: KnownRequest,
    reply: ServeReply,
  ): void {
    // What did not run may be tried again.
    if (reply.outcome === ServeOutcome.NOT_RUN) {
      this.known.delete(key);
      return;
    }
    if (this.keptBytes + reply.body.length > KEEP_BYTES) {
      request.answer = Promise.resolve(withoutAnswer(reply));
      return;
    }
    request.keptBytes = reply.body.length;
    this.keptBytes += reply.body.length;
  }

  private dropOld(now: number): void {
    for (const [key, {arrivedAt, keptBytes}] of this.known) {
      if (now - arrivedAt <= KEEP_MILLIS) return;
      this.keptBytes -= keptBytes;
      this.known.delete(key);
    }
  }
}

/** Says that the request ran, or may have, without its answer. */
function withoutAnswer(reply: ServeReply): ServeReply {
  return {
    ...reply,
    outcome: ServeOutcome.UNKNOWN,
    resultCode: ResultCodes.OUTCOME_UNKNOWN.number,
    status: 0,
    headers: [],
    body: Buffer.alloc(0),
    reason: 'the request ran before, and its answer is no longer kept',
  };
}

/** Callers may choose like ids, so the content counts as well. */
function keyOf(request: ServeRequest): string {
  const {team, service, requestId, method, path, body} = request;
  const digest = createHash('sha256').update(body).digest('base64');
  return [team, service, requestId, method, path, digest].join('\n');
}

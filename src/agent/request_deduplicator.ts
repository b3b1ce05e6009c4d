import {createHash} from 'node:crypto';
import {ResultCodes} from '../observability/result_codes.js';
import type {
  ServeReply,
  ServeRequest,
} from '../protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../protocol/links.js';

/** Time after the arrival of a request in which repeats are recognized. */
const RETENTION_MILLIS = 30_000;

/** Maximum total size of the response bodies that are kept for repeats. */
const MAXIMUM_KEPT_BYTES = 2 * 1024 * 1024;

interface KnownRequest {
  reply: Promise<ServeReply>;
  readonly arrivedAt: number;
  keptBytes: number;
}

/**
 * Deduplicates requests that are not idempotent, so that each runs at most
 * once: a repeat gets the reply to the first. When the size limit for kept
 * replies is reached, a repeat is told that the request may have run.
 */
export class RequestDeduplicator {
  /** In order of arrival. */
  private readonly requests = new Map<string, KnownRequest>();
  private keptBytes = 0;

  /** Returns the reply to an earlier arrival of the request, or runs it. */
  runOnce(
    request: ServeRequest,
    now: number,
    run: () => Promise<ServeReply>,
  ): Promise<ServeReply> {
    if (request.idempotent) return run();
    this.removeExpired(now);
    const key = deduplicationKeyOf(request);
    const known = this.requests.get(key);
    if (known) return known.reply;
    const pendingReply = run();
    const added = {reply: pendingReply, arrivedAt: now, keptBytes: 0};
    this.requests.set(key, added);
    pendingReply.then(
      reply => this.recordReply(key, added, reply),
      () => undefined,
    );
    return pendingReply;
  }

  private recordReply(
    key: string,
    request: KnownRequest,
    reply: ServeReply,
  ): void {
    // A request that did not run may be sent again.
    if (reply.outcome === ServeOutcome.NOT_RUN) {
      this.requests.delete(key);
      return;
    }
    if (this.keptBytes + reply.body.length > MAXIMUM_KEPT_BYTES) {
      request.reply = Promise.resolve(createUnknownOutcomeReply(reply));
      return;
    }
    request.keptBytes = reply.body.length;
    this.keptBytes += reply.body.length;
  }

  private removeExpired(now: number): void {
    for (const [key, {arrivedAt, keptBytes}] of this.requests) {
      if (now - arrivedAt <= RETENTION_MILLIS) return;
      this.keptBytes -= keptBytes;
      this.requests.delete(key);
    }
  }
}

/** Returns the reply to a repeat of a request whose response is not kept. */
function createUnknownOutcomeReply(reply: ServeReply): ServeReply {
  return {
    ...reply,
    outcome: ServeOutcome.UNKNOWN,
    resultCode: ResultCodes.OUTCOME_UNKNOWN.number,
    status: 0,
    headers: [],
    body: Buffer.alloc(0),
    reason: 'the request ran before, and its response was not kept',
  };
}

/** The key includes the content, since callers may choose equal ids. */
function deduplicationKeyOf(request: ServeRequest): string {
  const {team, service, requestId, method, path, body} = request;
  const digest = createHash('sha256').update(body).digest('base64');
  return [team, service, requestId, method, path, digest].join('\n');
}

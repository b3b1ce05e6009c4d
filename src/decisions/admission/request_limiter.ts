import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';

const MILLIS_PER_SECOND = 1000;
/** The burst is the number of requests that the rate allows in this time. */
const BURST_MILLIS = 500;

export type LimitDecision =
  | {readonly admitted: true}
  | {
      readonly admitted: false;
      readonly code: ResultCode;
      readonly retryAfterMillis: number;
    };

interface Bucket {
  requestsPerSecond: number;
  tokens: number;
  filledAt: number;
}

/** Token buckets, one for each service of a team that has a limit. */
export class RequestLimiter {
  private readonly buckets = new Map<string, Bucket>();

  /** Sets the limit in requests per second; 0 removes it. */
  setLimit(
    team: string,
    service: string,
    requestsPerSecond: number,
    now: number,
  ): void {
    const key = keyOf(team, service);
    if (requestsPerSecond <= 0) {
      this.buckets.delete(key);
      return;
    }
    const bucket = this.buckets.get(key);
    if (!bucket) {
      const tokens = burstOf(requestsPerSecond);
      this.buckets.set(key, {requestsPerSecond, tokens, filledAt: now});
      return;
    }
    fill(bucket, now);
    bucket.requestsPerSecond = requestsPerSecond;
    bucket.tokens = Math.min(bucket.tokens, burstOf(requestsPerSecond));
  }

  /** Takes a token for a request, or returns when the next is available. */
  admit(team: string, service: string, now: number): LimitDecision {
    const bucket = this.buckets.get(keyOf(team, service));
    if (!bucket) return {admitted: true};
    fill(bucket, now);
    if (bucket.tokens < 1) {
      const missing = 1 - bucket.tokens;
      const rate = bucket.requestsPerSecond / MILLIS_PER_SECOND;
      return {
        admitted: false,
        code: ResultCodes.TEAM_LIMIT,
        retryAfterMillis: Math.ceil(missing / rate),
      };
    }
    bucket.tokens--;
    return {admitted: true};
  }
}

function keyOf(team: string, service: string): string {
  return `${team}/${service}`;
}

function burstOf(requestsPerSecond: number): number {
  return Math.max(1, (requestsPerSecond * BURST_MILLIS) / MILLIS_PER_SECOND);
}

function fill(bucket: Bucket, now: number): void {
  const elapsedMillis = Math.max(0, now - bucket.filledAt);
  const added = (elapsedMillis * bucket.requestsPerSecond) / MILLIS_PER_SECOND;
  const burst = burstOf(bucket.requestsPerSecond);
  bucket.tokens = Math.min(burst, bucket.tokens + added);
  bucket.filledAt = Math.max(bucket.filledAt, now);
}

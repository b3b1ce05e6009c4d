/** Consecutive failed requests after which an upstream is ejected. */
const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MILLIS = 1000;
const MAXIMUM_EJECTION_MILLIS = 30000;
/** A probe without a response for this long doesn't block the next one. */
const PROBE_MILLIS = 2000;
const SLOW_START_MILLIS = 3000;
const MINIMUM_SLOW_START_SHARE = 0.1;
/** Minimum silence of an upstream with open requests before it lags. */
const MINIMUM_LAGGING_MILLIS = 100;
/**
 * An upstream with one open request lags after this multiple of its usual
 * response time; with more open requests the factor decreases towards 1.
 */
const LAGGING_FACTOR = 8;

export const HealthState = {
  HEALTHY: 'healthy',
  /** No response to open requests for much longer than usual. */
  LAGGING: 'lagging',
  /** Gets no requests for a time after failures. */
  EJECTED: 'ejected',
  /** The ejection is over: gets single requests until one succeeds. */
  PROBING: 'probing',
} as const;
export type HealthState = (typeof HealthState)[keyof typeof HealthState];

/** Tracks the health of an upstream by the outcomes of its requests. */
export class UpstreamHealth {
  private failures = 0;
  private ejections = 0;
  private ejectedUntil: number | undefined;
  private probeSentAt: number | undefined;
  private returnedAt: number | undefined;
  /** Time of the last message, or of the first request sent since idle. */
  private silentSince: number | undefined;

  /** Called when a request is sent. */
  sent(now: number): void {
    this.silentSince ??= now;
    if (this.ejectedUntil !== undefined) this.probeSentAt = now;
  }

  /** Called on a report or response; `open` requests are still in flight. */
  recordMessage(open: number, now: number): void {
    this.silentSince = open > 0 ? now : undefined;
  }

  succeeded(now: number): void {
    this.failures = 0;
    if (this.ejectedUntil === undefined) return;
    this.returned(now);
  }

  failed(now: number): void {
    this.failures++;
    const wasOut = this.ejectedUntil !== undefined;
    if (!wasOut && this.failures < FAILURES_TO_EJECT) return;
    if (wasOut && now < (this.ejectedUntil ?? 0)) return;
    const millis = FIRST_EJECTION_MILLIS * 2 ** this.ejections;
    this.ejectedUntil = now + Math.min(millis, MAXIMUM_EJECTION_MILLIS);
    this.ejections++;
    this.probeSentAt = undefined;
  }

  /** Starts the slow start of an upstream that takes requests again. */
  returned(now: number): void {
    this.ejectedUntil = undefined;
    this.probeSentAt = undefined;
    this.failures = 0;
    this.returnedAt = now;
  }

  /** Takes the usual response time and the number of requests in flight. */
  stateAt(now: number, answerMillis: number, open: number): HealthState {
    if (this.ejectedUntil !== undefined) {
      return now < this.ejectedUntil
        ? HealthState.EJECTED
        : HealthState.PROBING;
    }
    if (this.silentSince === undefined) return HealthState.HEALTHY;
    const answerTimes = 1 + (LAGGING_FACTOR - 1) / Math.max(1, open);
    const patienceMillis = Math.max(
      MINIMUM_LAGGING_MILLIS,
      answerTimes * answerMillis,
    );
    return now - this.silentSince > patienceMillis
      ? HealthState.LAGGING
      : HealthState.HEALTHY;
  }

  /** True if a probing upstream may get a request now. */
  mayProbe(now: number): boolean {
    if (this.probeSentAt === undefined) return true;
    return now - this.probeSentAt > PROBE_MILLIS;
  }

  slowStartShare(now: number): number {
    if (this.returnedAt === undefined) return 1;
    const share = (now - this.returnedAt) / SLOW_START_MILLIS;
    if (share >= 1) this.ejections = 0;
    return Math.min(1, Math.max(MINIMUM_SLOW_START_SHARE, share));
  }
}

/** Requests without an answer in a row that eject an upstream. */
const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MILLIS = 1000;
const LONGEST_EJECTION_MILLIS = 30000;
/** A probe without an answer for this long doesn't block the next one. */
const PROBE_MILLIS = 2000;
const SLOW_START_MILLIS = 3000;
const LEAST_SLOW_START_SHARE = 0.1;
/** Without any word for this long an upstream with open requests may lag. */
const LEAST_LAGGING_MILLIS = 100;
/**
 * It lags after this many times its usual answer time with one open request;
 * with many the time goes down to the usual one.
 */
const LAGGING_FACTOR = 8;

export const HealthState = {
  HEALTHY: 'healthy',
  /** No answer to open requests for longer than usual. */
  LAGGING: 'lagging',
  /** Out for a time after failures. */
  EJECTED: 'ejected',
  /** Its time out is over: gets single requests until one succeeds. */
  PROBING: 'probing',
} as const;
export type HealthState = (typeof HealthState)[keyof typeof HealthState];

/** Whether an upstream can be trusted with requests, by their outcomes. */
export class UpstreamHealth {
  private failures = 0;
  private ejections = 0;
  private ejectedUntil: number | undefined;
  private probeSentAt: number | undefined;
  private returnedAt: number | undefined;
  /** When the upstream was last heard from, or a first request was sent. */
  private silentSince: number | undefined;

  /** Counts a request that is on its way. */
  sent(now: number): void {
    this.silentSince ??= now;
    if (this.ejectedUntil !== undefined) this.probeSentAt = now;
  }

  /** A report or answer came; `open` requests are still on their way. */
  heard(open: number, now: number): void {
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
    this.ejectedUntil = now + Math.min(millis, LONGEST_EJECTION_MILLIS);
    this.ejections++;
    this.probeSentAt = undefined;
  }

  /** It takes requests again after a time without: begins with few. */
  returned(now: number): void {
    this.ejectedUntil = undefined;
    this.probeSentAt = undefined;
    this.failures = 0;
    this.returnedAt = now;
  }

  /** With the usual answer time and the requests that are on their way. */
  stateAt(now: number, answerMillis: number, open: number): HealthState {
    if (this.ejectedUntil !== undefined) {
      return now < this.ejectedUntil
        ? HealthState.EJECTED
        : HealthState.PROBING;
    }
    if (this.silentSince === undefined) return HealthState.HEALTHY;
    const answerTimes = 1 + (LAGGING_FACTOR - 1) / Math.max(1, open);
    const patienceMillis = Math.max(
      LEAST_LAGGING_MILLIS,
      answerTimes * answerMillis,
    );
    return now - this.silentSince > patienceMillis
      ? HealthState.LAGGING
      : HealthState.HEALTHY;
  }

  /** Whether a probing upstream may get a request now. */
  mayProbe(now: number): boolean {
    if (this.probeSentAt === undefined) return true;
    return now - this.probeSentAt > PROBE_MILLIS;
  }

  slowStartShare(now: number): number {
    if (this.returnedAt === undefined) return 1;
    const share = (now - this.returnedAt) / SLOW_START_MILLIS;
    if (share >= 1) this.ejections = 0;
    return Math.min(1, Math.max(LEAST_SLOW_START_SHARE, share));
  }
}

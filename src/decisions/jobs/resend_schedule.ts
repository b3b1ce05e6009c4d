const FIRST_RESEND_MILLIS = 250;
const MAXIMUM_RESEND_MILLIS = 2000;

/** Exponential backoff for resending a message until it is confirmed. */
export class ResendSchedule {
  sends = 0;
  private nextAt = 0;

  isDue(now: number): boolean {
    return now >= this.nextAt;
  }

  sent(now: number): void {
    const delay = FIRST_RESEND_MILLIS * 2 ** Math.min(this.sends, 10);
    this.nextAt = now + Math.min(delay, MAXIMUM_RESEND_MILLIS);
    this.sends++;
  }

  /** Called when the last message is guaranteed not to have been sent. */
  notSent(now: number): void {
    this.sends = Math.max(0, this.sends - 1);
    this.nextAt = now + FIRST_RESEND_MILLIS;
  }

  reset(): void {
    this.sends = 0;
    this.nextAt = 0;
  }
}

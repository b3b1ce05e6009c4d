const FIRST_RESEND_MILLIS = 250;
const LONGEST_RESEND_MILLIS = 2000;

/** When a message that awaits its confirmation is to be sent again. */
export class ResendSchedule {
  sends = 0;
  private nextAt = 0;

  isDue(now: number): boolean {
    return now >= this.nextAt;
  }

  sent(now: number): void {
    const delay = FIRST_RESEND_MILLIS * 2 ** Math.min(this.sends, 10);
    this.nextAt = now + Math.min(delay, LONGEST_RESEND_MILLIS);
    this.sends++;
  }

  /** The last message surely was not sent. */
  notSent(now: number): void {
    this.sends = Math.max(0, this.sends - 1);
    this.nextAt = now + FIRST_RESEND_MILLIS;
  }

  reset(): void {
    this.sends = 0;
    this.nextAt = 0;
  }
}

/** The lease that settings have by default, in force until they are read. */
const INITIAL_LEASE_MILLIS = 15_000;

interface PastLength {
  readonly millis: number;
  /** Leases of this length end by then at the latest. */
  readonly endsBy: number;
}

/**
 * The lengths of task leases that may still be held. After operators shortened
 * them, an owner has to count with the longer ones until those have ended.
 */
export class LeaseLengths {
  private currentMillis = INITIAL_LEASE_MILLIS;
  private past: PastLength[] = [];

  /** Takes in the length that is granted from now on. */
  change(millis: number, now: number): void {
    if (millis === this.currentMillis) return;
    const endsBy = now + this.currentMillis;
    this.past.push({millis: this.currentMillis, endsBy});
    this.currentMillis = millis;
  }

  longestMillis(now: number): number {
    this.past = this.past.filter(length => length.endsBy > now);
    const lengths = this.past.map(length => length.millis);
    return Math.max(this.currentMillis, ...lengths);
  }
}

/**
 * Attempts that must not start any more. Each is kept as long as a start that
 * was sent before the attempt was closed could still arrive and be accepted.
 */
export class ClosedAttempts {
  /** Closing time by key, in the order of closing. */
  private readonly closingTimes = new Map<string, number>();

  constructor(private readonly retentionMillis: number) {}

  get size(): number {
    return this.closingTimes.size;
  }

  close(key: string, now: number): void {
    this.closingTimes.delete(key);
    this.closingTimes.set(key, now);
    this.removeExpired(now);
  }

  isClosed(key: string, now: number): boolean {
    this.removeExpired(now);
    return this.closingTimes.has(key);
  }

  /** Returns when the attempt was closed; undefined if that is not known. */
  closedAt(key: string): number | undefined {
    return this.closingTimes.get(key);
  }

  private removeExpired(now: number): void {
    for (const [key, closedAt] of this.closingTimes) {
      if (now - closedAt <= this.retentionMillis) return;
      this.closingTimes.delete(key);
    }
  }
}

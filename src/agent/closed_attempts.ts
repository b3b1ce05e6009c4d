/**
 * Attempts that must not start any more. Each mark is kept as long as a start
 * that was sent before it could still arrive and be obeyed.
 */
export class ClosedAttempts {
  /** Keys in the order of their marks, with the time of the mark. */
  private readonly marks = new Map<string, number>();

  constructor(private readonly keepMillis: number) {}

  get size(): number {
    return this.marks.size;
  }

  close(key: string, now: number): void {
    this.marks.delete(key);
    this.marks.set(key, now);
    this.dropOld(now);
  }

  isClosed(key: string, now: number): boolean {
    this.dropOld(now);
    return this.marks.has(key);
  }

  /** When the attempt was closed; undefined when that isn't known any more. */
  closedAt(key: string): number | undefined {
    return this.marks.get(key);
  }

  private dropOld(now: number): void {
    for (const [key, markedAt] of this.marks) {
      if (now - markedAt <= this.keepMillis) return;
      this.marks.delete(key);
    }
  }
}

/**
 * Tracks the numbered run ends that one incarnation of a worker reports, and
 * acknowledges them in order once they are durable.
 */
export class EndAcknowledgements {
  private readonly waiting = new Map<number, boolean>();
  private durable = 0;

  /** All ends up to this number are durable. */
  get durableEnd(): number {
    return this.durable;
  }

  /** Records an end; true if it was not received before. */
  recordEnd(number: number): boolean {
    if (number <= this.durable || this.waiting.has(number)) return false;
    this.waiting.set(number, false);
    return true;
  }

  /**
   * Called when the end is durable or need not be stored. Returns true if
   * `durableEnd` has advanced.
   */
  markDurable(number: number): boolean {
    if (!this.waiting.has(number)) return false;
    this.waiting.set(number, true);
    const before = this.durable;
    for (const next of [...this.waiting.keys()].sort((a, b) => a - b)) {
      if (this.waiting.get(next) !== true) break;
      this.waiting.delete(next);
      this.durable = next;
    }
    return this.durable > before;
  }
}

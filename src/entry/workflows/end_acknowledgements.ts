/**
 * The ends of one incarnation of a worker, acknowledged in their order once
 * each of them is durable.
 */
export class EndAcknowledgements {
  private readonly waiting = new Map<number, boolean>();
  private durable = 0;

  /** Ends up to this number can't be lost. */
  get durableEnd(): number {
    return this.durable;
  }

  /** True for an end that was not taken in before. */
  begin(number: number): boolean {
    if (number <= this.durable || this.waiting.has(number)) return false;
    this.waiting.set(number, false);
    return true;
  }

  /** The end is durable, or needs not be; true if the bound has moved. */
  settle(number: number): boolean {
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

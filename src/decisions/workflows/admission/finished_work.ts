interface FinishedTask {
  readonly work: number;
  readonly at: number;
}

/** The best-effort work that a service has finished within a moving window. */
export class FinishedWork {
  private readonly tasks: FinishedTask[] = [];
  private sum = 0;

  constructor(private readonly windowMillis: number) {}

  record(work: number, at: number): void {
    this.tasks.push({work, at});
    this.sum += work;
  }

  /** Returns the work finished within the window, in core-milliseconds. */
  total(now: number): number {
    let count = 0;
    for (const {work, at} of this.tasks) {
      if (at >= now - this.windowMillis) break;
      this.sum -= work;
      count++;
    }
    this.tasks.splice(0, count);
    if (this.tasks.length === 0) this.sum = 0;
    return this.sum;
  }
}

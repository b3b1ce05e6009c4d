/** How much later than its Retry-After a caller may come back. */
const GRACE_MILLIS = 2_000;

interface PromisedCaller {
  readonly service: string;
  readonly work: number;
  /** Monotonic time in milliseconds. */
  readonly expiresAt: number;
}

/**
 * The work of callers that were refused and are expected back. It counts as work
 * ahead of later callers, who would otherwise all be told the same time, at
 * which only the first of them finds room.
 */
export class PromisedWork {
  /** In the order of the first refusal, by workflow. */
  private readonly callers = new Map<string, PromisedCaller>();

  /** Records a refusal; a repeated one keeps its place in the order. */
  record(
    id: string,
    caller: Pick<PromisedCaller, 'service' | 'work'>,
    dueAt: number,
  ): void {
    const {service, work} = caller;
    this.callers.set(id, {service, work, expiresAt: dueAt + GRACE_MILLIS});
  }

  forget(id: string): void {
    this.callers.delete(id);
  }

  /** Returns the work of the service's callers that were refused before. */
  workBefore(id: string, service: string, now: number): number {
    let sum = 0;
    for (const [other, caller] of this.callers) {
      if (caller.expiresAt < now) this.callers.delete(other);
      else if (other === id) break;
      else if (caller.service === service) sum += caller.work;
    }
    return sum;
  }
}

/** Number of tokens available to one process run of an agent. */
const TOKENS_PER_PROCESS_RUN = 100_000;

/**
 * The fencing token of one process run of an agent. It is based on the revision
 * of a write to the store, so it grows with each process run. Within a run it is
 * raised on demand to invalidate commands that got no response.
 */
export class FencingToken {
  private steps = 0;

  constructor(private readonly storeRevision: number) {}

  get value(): number {
    return this.storeRevision * TOKENS_PER_PROCESS_RUN + this.steps;
  }

  raise(): void {
    this.steps = Math.min(this.steps + 1, TOKENS_PER_PROCESS_RUN - 1);
  }
}

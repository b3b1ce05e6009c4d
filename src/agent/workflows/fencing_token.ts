/** Tokens that one life of an agent can give out. */
const TOKENS_A_LIFE = 100_000;

/**
 * The token of one life of an agent. Its base is the revision of a write to the
 * store, so that it grows with each life; within a life it grows on demand, to
 * make orders void that were not answered.
 */
export class FencingToken {
  private steps = 0;

  constructor(private readonly storeRevision: number) {}

  get value(): number {
    return this.storeRevision * TOKENS_A_LIFE + this.steps;
  }

  raise(): void {
    this.steps = Math.min(this.steps + 1, TOKENS_A_LIFE - 1);
  }
}

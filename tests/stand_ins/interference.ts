/** How much one side of a pair slows the other: 1 is not at all. */
export interface InterferencePair {
  /** A service or a kind of task. */
  readonly name: string;
  readonly beside: string;
  readonly slowdown: number;
}

/** Slowdowns by pair; both the workers and the executors go by it. */
export class InterferenceModel {
  private readonly slowdowns = new Map<string, number>();

  constructor(pairs: readonly InterferencePair[] = []) {
    for (const {name, beside, slowdown} of pairs) {
      this.slowdowns.set(`${name}/${beside}`, slowdown);
    }
  }

  /** The slowdown beside all of these; each name counts once. */
  slowdownOf(name: string, besides: Iterable<string>): number {
    let product = 1;
    for (const beside of new Set(besides)) {
      product *= this.slowdowns.get(`${name}/${beside}`) ?? 1;
    }
    return product;
  }
}

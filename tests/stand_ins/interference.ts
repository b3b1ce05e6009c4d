/** The slowdown of `name` when `beside` runs on the same VM; 1 is none. */
export interface InterferencePair {
  /** A service or a task kind. */
  readonly name: string;
  readonly beside: string;
  readonly slowdown: number;
}

/** Slowdowns by pair, applied by both worker and executor stand-ins. */
export class InterferenceModel {
  private readonly slowdowns = new Map<string, number>();

  constructor(pairs: readonly InterferencePair[] = []) {
    for (const {name, beside, slowdown} of pairs) {
      this.slowdowns.set(`${name}/${beside}`, slowdown);
    }
  }

  /** Returns the slowdown beside all the names; each counts once. */
  slowdownOf(name: string, besideNames: Iterable<string>): number {
    let product = 1;
    for (const beside of new Set(besideNames)) {
      product *= this.slowdowns.get(`${name}/${beside}`) ?? 1;
    }
    return product;
  }
}

/**
 * Load pattern: a filling task lengthens the tail of a task that serves beside
 * it, by an amount that depends on the pair of images: one filling image in a
 * dozen takes a serving one over its target by itself, most do next to nothing.
 */

/** Processors that a filling run uses, by its image. */
export interface FillLoad {
  readonly image: string;
  readonly milliprocessors: number;
}

/** Tail over target of a serving task with nothing beside it, until learned. */
const FIRST_BASELINE = 0.35;
/** Tail over target for each processor of a pair that was never seen. */
const FIRST_PRESSURE = 0.04;
/** Share of an error that one observation corrects. */
const LEARNING_RATE = 0.4;
const BASELINE_RATE = 0.05;
const MILLIPROCESSORS = 1_000;
/** Keeps small loads from being blamed for large errors. */
const LEAST_SQUARE = 1;

/** Learns the pressure of each pair of images by normalized least squares. */
export class FillInterference {
  private readonly baselines = new Map<string, number>();
  private readonly pressures = new Map<string, number>();

  /** Tail over target that one processor of the filling image adds. */
  pressure(serving: string, filling: string): number {
    return this.pressures.get(pairKey(serving, filling)) ?? FIRST_PRESSURE;
  }

  /** Takes in a measured tail, as a share of its target. */
  observe(serving: string, ratio: number, fills: readonly FillLoad[]): void {
    const baseline = this.baselines.get(serving) ?? FIRST_BASELINE;
    const processors = new Map<string, number>();
    for (const {image, milliprocessors} of fills) {
      const before = processors.get(image) ?? 0;
      processors.set(image, before + milliprocessors / MILLIPROCESSORS);
    }
    let predicted = baseline;
    let square = LEAST_SQUARE;
    for (const [image, count] of processors) {
      predicted += this.pressure(serving, image) * count;
      square += count * count;
    }
    const error = ratio - predicted;
    this.baselines.set(serving, Math.max(0, baseline + BASELINE_RATE * error));
    for (const [image, count] of processors) {
      const change = (LEARNING_RATE * error * count) / square;
      const pressure = this.pressure(serving, image) + change;
      this.pressures.set(pairKey(serving, image), Math.max(0, pressure));
    }
  }
}

function pairKey(serving: string, filling: string): string {
  return `${serving} ${filling}`;
}

import type {ImageInterference, Tail} from '../image_interference.js';
import type {WorkerView} from '../worker_view.js';
import type {StepSpec} from '../workflow_types.js';

/**
 * Tail ratio that must not be exceeded even if a pair of images interferes as
 * much as is likely: the target itself.
 */
const MAXIMUM_LIKELY_RATIO = 1;

/** A best-effort run whose effect on the tails was not measured yet. */
interface UnmeasuredRun {
  readonly image: string;
  /** Share of the worker's processors that it may use. */
  readonly share: number;
}

/**
 * Limits the best-effort runs that start on one worker before their effect on
 * its tails is known.
 *
 * Load pattern: a wide step of an image that was not seen before becomes ready.
 * A tail is measured half a second after a run has started, so placing several
 * tasks on the worker with the most unused processors can take its tails to
 * ten times their targets before any measurement shows it. One run at a time
 * shows whether its image interferes, at the cost of a slight rise.
 */
export class ProbeLimit {
  private readonly unmeasured: UnmeasuredRun[];

  constructor(
    view: WorkerView,
    private readonly interference: ImageInterference,
  ) {
    this.unmeasured = findUnmeasuredRuns(view);
  }

  /** Returns the tails expected once all runs on the worker are measured. */
  expectedTails(tails: readonly Tail[]): readonly Tail[] {
    if (this.unmeasured.length === 0) return tails;
    return tails.map(tail => ({
      image: tail.image,
      ratio: this.unmeasured.reduce(
        (ratio, {image, share}) =>
          this.interference.expectedRatio(
            {image: tail.image, ratio},
            image,
            share,
          ),
        tail.ratio,
      ),
    }));
  }

  /** True if the run may start beside those that were not measured yet. */
  allows(
    step: StepSpec,
    share: number,
    measuredTails: readonly Tail[],
  ): boolean {
    if (this.unmeasured.length === 0) return true;
    const runs = [...this.unmeasured, {image: step.image, share}];
    return measuredTails.every(
      tail => this.likelyRatio(tail, runs) <= MAXIMUM_LIKELY_RATIO,
    );
  }

  /** Counts a run that is placed in this round. */
  add(step: StepSpec, share: number): void {
    this.unmeasured.push({image: step.image, share});
  }

  /** Saves the runs and returns a function that restores them. */
  save(): () => void {
    const count = this.unmeasured.length;
    return () => {
      this.unmeasured.length = count;
    };
  }

  private likelyRatio(tail: Tail, runs: readonly UnmeasuredRun[]): number {
    let exponent = 0;
    for (const {image, share} of runs) {
      const likely = this.interference.likelyMaximum(tail.image, image);
      exponent += likely * share;
    }
    return this.interference.ratioOf(tail) * Math.exp(exponent);
  }
}

function findUnmeasuredRuns(view: WorkerView): UnmeasuredRun[] {
  const capacity = Math.max(1, view.traits.room.milliprocessors);
  const runs: UnmeasuredRun[] = [];
  for (const [name, {reference}] of view.bestEffortRuns) {
    const measure = view.running.get(name)?.measure ?? 0;
    if (measure > 0 || view.paces.has(name)) continue;
    const {image, size} = reference.step;
    runs.push({image, share: size.milliprocessors / capacity});
  }
  return runs;
}

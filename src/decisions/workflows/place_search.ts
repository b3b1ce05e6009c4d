import type {ImageInterference} from './image_interference.js';
import {PlacementCandidate} from './placement_candidate.js';
import {HIGH_TAIL_RATIO} from './worker_scores.js';
import type {WorkerView} from './worker_view.js';
import type {StepSpec} from './workflow_types.js';

/** Of two places, at least one is not the present worker of the task. */
const ENOUGH_PLACES = 2;

/**
 * Determines whether tasks would fit on another worker, at one point in time.
 *
 * Load pattern: hundreds of best-effort runs are paused at once, and each needs
 * the same search of the whole pool; tasks of a step share its result.
 */
export class PlaceSearch {
  private readonly found = new Map<StepSpec, Places>();

  constructor(
    private readonly workers: readonly WorkerView[],
    private readonly interference: ImageInterference,
  ) {}

  /** True if the task would fit on another worker of the same service. */
  hasPlaceElsewhere(view: WorkerView, step: StepSpec): boolean {
    return this.placesFor(step, view.traits.service).any.some(
      place => place !== view,
    );
  }

  /** True if the task would fit on another worker without interference. */
  hasInterferenceFreePlaceElsewhere(view: WorkerView, step: StepSpec): boolean {
    return this.placesFor(step, view.traits.service).free.some(
      place => place !== view,
    );
  }

  private placesFor(step: StepSpec, service: string): Places {
    const known = this.found.get(step);
    if (known) return known;
    const places: Places = {any: [], free: []};
    for (const worker of this.workers) {
      if (worker.traits.service !== service) continue;
      this.addPlace(places, step, worker);
      if (places.free.length === ENOUGH_PLACES) break;
    }
    this.found.set(step, places);
    return places;
  }

  /** Best-effort tasks need unused processors and low tail ratios. */
  private addPlace(places: Places, step: StepSpec, view: WorkerView): void {
    const candidate = new PlacementCandidate({view});
    if (!candidate.mayRun(step, 0)) return;
    const tail = step.fills
      ? candidate.expectedTailRatio(step, this.interference)
      : 0;
    if (tail === 0) places.free.push(view);
    const hasLowTails = !view.isPaced && tail <= HIGH_TAIL_RATIO;
    if (tail === 0 || hasLowTails) places.any.push(view);
  }
}

/** Workers on which a task fits; not all, but enough. */
interface Places {
  readonly any: WorkerView[];
  /** Workers on which the task interferes with no tail latency. */
  readonly free: WorkerView[];
}

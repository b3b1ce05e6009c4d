import type {WorkerReport, WorkerRun} from '../../backends/leased_worker.js';
import {NO_RESOURCES, addResources} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';
import type {Tail} from './fill_interference.js';
import type {PlacedRun} from './workflow.js';

/** A run above it counts as not slowed. */
const NEARLY_FULL_PERCENT = 80;

/** What placement has to know of a worker. */
export type WorkerTraits = Pick<
  WorkerReport,
  | 'incarnation'
  | 'service'
  | 'failureDomain'
  | 'rack'
  | 'labels'
  | 'room'
  | 'draining'
  | 'remainingMillis'
>;

/** A run that a worker lists although nothing was placed there by now. */
export interface UnexpectedRun {
  readonly size: Resources;
  readonly fills: boolean;
}

/**
 * What the owner of a pool believes of one incarnation of a worker: what it
 * said, what is placed there, and what was heard of that.
 */
export class WorkerView {
  /** When the agent last reported, on the owner's clock. */
  heardAt = 0;
  /** How long the worker has not answered its agent. */
  silentMillis = 0;
  /** Whether anything of the worker's runs was heard. */
  listed = false;
  readonly running = new Map<string, WorkerRun>();
  /** What was placed here and is not known to have ended, by run key. */
  readonly placed = new Map<string, PlacedRun>();
  /** Percent at which runs work, where that is less than all; by run key. */
  readonly paces = new Map<string, number>();
  readonly unexpected = new Map<string, UnexpectedRun>();

  constructor(
    /** Agent and incarnation; names this life of the worker in records. */
    readonly key: string,
    readonly agent: string,
    public traits: WorkerTraits,
  ) {}

  /** What tasks that reserve room have; a run that is to end counts. */
  get reserved(): Resources {
    let sum = NO_RESOURCES;
    for (const {reference} of this.placed.values()) {
      sum = addResources(sum, reservedSize(reference.step));
    }
    for (const run of this.unexpected.values()) {
      sum = addResources(sum, reservedSize(run));
    }
    return sum;
  }

  /** Processors that tasks with a tail target reserve. */
  get servingMilliprocessors(): number {
    let sum = 0;
    for (const {reference} of this.placed.values()) {
      const {tailTargetMillis, size} = reference.step;
      if (tailTargetMillis > 0) sum += size.milliprocessors;
    }
    return sum;
  }

  /** Processors that filling tasks would use if they could. */
  get fillDemandMilliprocessors(): number {
    let sum = 0;
    for (const {reference} of this.placed.values()) {
      const {fills, size} = reference.step;
      if (fills) sum += size.milliprocessors;
    }
    return sum;
  }

  /** Whether some run is slowed for the sake of another. */
  get isPaced(): boolean {
    for (const [name, percent] of this.paces) {
      if (percent < NEARLY_FULL_PERCENT && this.placed.has(name)) return true;
    }
    return false;
  }

  /** Tails of the serving tasks here, as shares of their targets. */
  get tails(): Tail[] {
    const tails: Tail[] = [];
    for (const [name, {reference}] of this.placed) {
      const {tailTargetMillis, image} = reference.step;
      if (tailTargetMillis === 0) continue;
      const measure = this.running.get(name)?.measure ?? 0;
      tails.push({image, ratio: measure / tailTargetMillis});
    }
    return tails;
  }
}

/** Filling tasks reserve memory and accelerators, and no processors. */
export function reservedSize({size, fills}: UnexpectedRun): Resources {
  return fills ? {...size, milliprocessors: 0} : size;
}

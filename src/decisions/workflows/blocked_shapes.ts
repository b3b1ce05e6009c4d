import {fitsInto} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';
import type {StepSpec} from './workflow_types.js';

/**
 * Records tasks that found no worker in this round, so that equal or larger
 * ones are not tried on every worker again.
 *
 * Load pattern: while the pool is full, scores of steps wait for the same
 * capacity, and each round would try all of them on all workers.
 */
export class BlockedShapes {
  private readonly shapes = new Map<string, Shape[]>();

  /**
   * `highMillis` is the time within which a task that reservations restrict
   * surely ends; 0 for other tasks.
   */
  isBlocked(
    service: string,
    step: StepSpec,
    mayInterfere: boolean,
    highMillis = 0,
  ): boolean {
    const blocked = this.shapes.get(keyOf(service, step, mayInterfere));
    if (!blocked) return false;
    return blocked.some(
      shape =>
        shape.highMillis <= highMillis && fitsInto(shape.size, step.size),
    );
  }

  /**
   * `highMillis` is above 0 if a reservation may be the reason that no worker
   * was found: shorter tasks may still be placed.
   */
  record(
    service: string,
    step: StepSpec,
    mayInterfere: boolean,
    highMillis = 0,
  ): void {
    // The limit of tasks on one worker may be the reason that none was found.
    if (step.spreadLimit > 0) return;
    const key = keyOf(service, step, mayInterfere);
    const blocked = this.shapes.get(key) ?? [];
    this.shapes.set(key, [...blocked, {size: step.size, highMillis}]);
  }
}

interface Shape {
  readonly size: Resources;
  readonly highMillis: number;
}

/** Returns a key that is equal for tasks that only differ in their size. */
function keyOf(service: string, step: StepSpec, mayInterfere: boolean): string {
  const {fills, image, requiredLabel} = step;
  const shape = [service, requiredLabel, fills, fills && image];
  return JSON.stringify([...shape, fills && mayInterfere]);
}

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
  private readonly sizes = new Map<string, Resources[]>();

  isBlocked(service: string, step: StepSpec, mayInterfere: boolean): boolean {
    const blocked = this.sizes.get(keyOf(service, step, mayInterfere));
    return blocked?.some(size => fitsInto(size, step.size)) ?? false;
  }

  record(service: string, step: StepSpec, mayInterfere: boolean): void {
    // The limit of tasks on one worker may be the reason that none was found.
    if (step.spreadLimit > 0) return;
    const key = keyOf(service, step, mayInterfere);
    const blocked = this.sizes.get(key) ?? [];
    this.sizes.set(key, [...blocked, step.size]);
  }
}

/** Returns a key that is equal for tasks that only differ in their size. */
function keyOf(service: string, step: StepSpec, mayInterfere: boolean): string {
  const {fills, image, requiredLabel} = step;
  const shape = [service, requiredLabel, fills, fills && image];
  return JSON.stringify([...shape, fills && mayInterfere]);
}

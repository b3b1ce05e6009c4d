import type {
  PlacementChoice,
  PlacementTask,
  Placer,
} from '../../src/decisions/placement/placer.js';
import {
  PlacementObstacle,
  mayStartOn,
} from '../../src/decisions/placement/placer.js';
import type {SizeLearner} from '../../src/decisions/placement/size_learner.js';
import type {VmState} from '../../src/decisions/placement/vm_table.js';
import type {Resources} from '../../src/utilities/resources.js';

/** Takes the first VM with room. */
export class FirstFitPlacer implements Placer {
  choose(
    task: PlacementTask,
    vms: readonly VmState[],
    now: number,
  ): PlacementChoice | PlacementObstacle {
    for (const vm of vms) {
      if (mayStartOn(task, vm, now)) return {vm, reason: 'first fit'};
    }
    return PlacementObstacle.NO_ROOM;
  }
}

/** Believes what was declared. */
export class DeclaredSizes implements SizeLearner {
  record(): void {}

  recordReservation(): void {}

  rows(): [] {
    return [];
  }

  restore(): void {}

  reservation(team: string, kind: string, declared: Resources): Resources {
    return declared;
  }

  runMillis(team: string, kind: string, declared: number): number {
    return declared;
  }
}

import {hashOf} from '../../utilities/text_hash.js';
import type {InterferenceTable} from './interference_table.js';
import type {PlacementChoice, PlacementTask, Placer} from './placer.js';
import {PlacementObstacle, mayStartOn} from './placer.js';
import type {Spread} from './spread.js';
import type {VmState} from './vm_table.js';

const HASH_RANGE = 2 ** 32;
const ACCELERATOR_PENALTY = 4;
const SPREAD_PENALTY = 1;

export interface BestFitPlacerOptions {
  readonly interference: InterferenceTable;
  readonly spread: Spread;
  /** Gives each shard other preferred VMs, so that they race less for one. */
  readonly shard: number;
  /** Weight of the shard's own preference among VMs against a better fit. */
  readonly preferenceWeight?: number;
}

const PREFERENCE_WEIGHT = 0.1;

/**
 * Prefers the VM with the least capacity left after the placement. Avoids
 * services that the task's kind slows down, accelerators that the task doesn't
 * use and, for watchers, other watchers of the team nearby.
 */
export class BestFitPlacer implements Placer {
  private readonly interference: InterferenceTable;
  private readonly spread: Spread;
  private readonly shard: number;
  private readonly preferenceWeight: number;

  constructor(options: BestFitPlacerOptions) {
    this.interference = options.interference;
    this.spread = options.spread;
    this.shard = options.shard;
    this.preferenceWeight = options.preferenceWeight ?? PREFERENCE_WEIGHT;
  }

  choose(
    task: PlacementTask,
    vms: readonly VmState[],
    now: number,
  ): PlacementChoice | PlacementObstacle {
    let best: VmState | undefined;
    let bestCost = Infinity;
    let candidates = 0;
    let heldBack = false;
    for (const vm of vms) {
      if (!mayStartOn(task, vm, now)) continue;
      if (task.backedOffVms?.isHeldBack(vm.view.vm, now)) {
        heldBack = true;
        continue;
      }
      candidates++;
      const cost = this.cost(task, vm);
      if (cost >= bestCost) continue;
      best = vm;
      bestCost = cost;
    }
    if (!best) {
      if (heldBack) return PlacementObstacle.HELD_BACK;
      return candidates > 0
        ? PlacementObstacle.HARMFUL
        : PlacementObstacle.NO_ROOM;
    }
    best.unseenSlowdown += this.interference.addedSlowdown(
      task.taskKind,
      best,
      shareOf(task, best),
    );
    return {vm: best, reason: `best fit of ${candidates} VMs with room`};
  }

  private cost(task: PlacementTask, vm: VmState): number {
    if (!task.urgent && !task.overdue && this.isHarmful(task, vm)) {
      return Infinity;
    }
    let cost = leftoverShare(task, vm);
    cost += this.interference.penalty(task.taskKind, vm);
    if (task.size.accelerators === 0 && vm.freeAccelerators > 0) {
      cost += ACCELERATOR_PENALTY;
    }
    if (task.watcher) {
      cost += SPREAD_PENALTY * this.spread.crowding(task.team, vm.view);
    }
    return cost + this.preferenceWeight * this.preference(vm);
  }

  private isHarmful(task: PlacementTask, vm: VmState): boolean {
    const share = shareOf(task, vm);
    return this.interference.wouldBeLate(task.taskKind, vm, share);
  }

  private preference(vm: VmState): number {
    vm.preference ??= hashOf(`${this.shard}/${vm.view.vm}`) / HASH_RANGE;
    return vm.preference;
  }
}

/** Share of the VM that stays free, averaged over processors and memory. */
function leftoverShare(task: PlacementTask, vm: VmState): number {
  const {capacity} = vm.view;
  const processors =
    (vm.freeMilliprocessors - task.size.milliprocessors) /
    capacity.milliprocessors;
  const memory =
    (vm.freeMemoryMegabytes - task.size.memoryMegabytes) /
    capacity.memoryMegabytes;
  return (processors + memory) / 2;
}

/** Share of the VM's processors that the task takes. */
function shareOf(task: PlacementTask, vm: VmState): number {
  return task.size.milliprocessors / vm.view.capacity.milliprocessors;
}

import type {Resources} from '../../utilities/resources.js';
import type {HeldBackVms} from '../recovery/tail_backoff.js';
import type {VmState} from './vm_table.js';

/** A task that looks for a VM. */
export interface PlacementTask {
  readonly job: string;
  readonly team: string;
  readonly taskKind: string;
  /** What to reserve: the declared size, raised by what was learned. */
  readonly size: Resources;
  readonly urgent: boolean;
  readonly watcher: boolean;
  /** VMs on which it failed before. */
  readonly avoid: readonly string[];
  /** VMs whose service could not bear its kind lately. */
  readonly heldBack: HeldBackVms | undefined;
  /** Has waited so long that services may suffer from it. */
  readonly overdue: boolean;
  /** How often agents refused it since it last ran. */
  readonly refusals: number;
}

export interface PlacementChoice {
  readonly vm: VmState;
  readonly reason: string;
}

/** Why no VM was picked. */
export const PlacementObstacle = {
  NO_ROOM: 'no usable VM has room for its size',
  /** There is room, but only beside services that would answer too late. */
  HARMFUL: 'where there is room, services would be late beside its kind',
  /** There is room, but only where its kind was lately refused or evicted. */
  HELD_BACK:
    'where there is room, VMs refused or evicted its kind for the tail of ' +
    'their service; they are tried again after 5 s to 60 s',
} as const;
export type PlacementObstacle =
  (typeof PlacementObstacle)[keyof typeof PlacementObstacle];

/** Picks the VM for a task. */
export interface Placer {
  choose(
    task: PlacementTask,
    vms: readonly VmState[],
    now: number,
  ): PlacementChoice | PlacementObstacle;
}

/** Room for so many tasks of the size is enough for several shards. */
const PLENTY = 3;

/** Whether the task may start on the VM right now. */
export function mayStartOn(
  task: PlacementTask,
  vm: VmState,
  now: number,
): boolean {
  const {size} = task;
  if (!vm.usable || vm.refused) return false;
  if (size.milliprocessors > vm.freeMilliprocessors) return false;
  if (size.memoryMegabytes > vm.freeMemoryMegabytes) return false;
  if (size.accelerators > vm.freeAccelerators) return false;
  if (vm.leftToOthers && !task.urgent && isContested(size, vm)) return false;
  if (vm.heldUntil > now && vm.heldFor !== task.job) return false;
  return !task.avoid.includes(vm.view.vm);
}

/** Other shards may fill what is free before a start arrives. */
function isContested(size: Resources, vm: VmState): boolean {
  const plenty =
    vm.freeMilliprocessors >= PLENTY * size.milliprocessors &&
    vm.freeMemoryMegabytes >= PLENTY * size.memoryMegabytes &&
    vm.freeAccelerators >= PLENTY * size.accelerators;
  return !plenty && !vm.ownRoomHolds(size);
}

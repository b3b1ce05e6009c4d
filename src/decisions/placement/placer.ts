import type {Resources} from '../../utilities/resources.js';
import type {HeldBackVms} from '../recovery/tail_backoff.js';
import type {VmState} from './vm_table.js';

/** A task to be placed on a VM. */
export interface PlacementTask {
  readonly job: string;
  readonly team: string;
  readonly taskKind: string;
  /** The size to reserve: the declared one, raised to the learned usage. */
  readonly size: Resources;
  readonly urgent: boolean;
  readonly watcher: boolean;
  /** VMs on which the task failed before. */
  readonly avoid: readonly string[];
  /** VMs that lately refused or evicted its kind for their service's tail. */
  readonly backedOffVms: HeldBackVms | undefined;
  /** The wait is so long that the task may slow services down. */
  readonly overdue: boolean;
  /** Number of times agents refused the task since it last ran. */
  readonly refusals: number;
}

export interface PlacementChoice {
  readonly vm: VmState;
  readonly reason: string;
}

/** Reason why no VM was chosen. */
export const PlacementObstacle = {
  NO_ROOM: 'no usable VM has room for its size',
  /** VMs with free capacity run services that would exceed their targets. */
  HARMFUL:
    'on VMs with free capacity, its kind would push services over their target',
  /** VMs with free capacity recently refused or evicted its kind. */
  HELD_BACK:
    'VMs with free capacity refused or evicted its kind to protect the tail ' +
    'latency of their service; they are retried after 5 s to 60 s',
} as const;
export type PlacementObstacle =
  (typeof PlacementObstacle)[keyof typeof PlacementObstacle];

/** Chooses the VM for a task. */
export interface Placer {
  choose(
    task: PlacementTask,
    vms: readonly VmState[],
    now: number,
  ): PlacementChoice | PlacementObstacle;
}

/** Free capacity for this many tasks suffices for several shards. */
const UNCONTESTED_TASKS = 3;

/** True if the task may start on the VM now. */
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
  if (vm.reservedUntil > now && vm.reservedFor !== task.job) return false;
  return !task.avoid.includes(vm.view.vm);
}

/** True if other shards may use the free capacity before a start arrives. */
function isContested(size: Resources, vm: VmState): boolean {
  const isAmple =
    vm.freeMilliprocessors >= UNCONTESTED_TASKS * size.milliprocessors &&
    vm.freeMemoryMegabytes >= UNCONTESTED_TASKS * size.memoryMegabytes &&
    vm.freeAccelerators >= UNCONTESTED_TASKS * size.accelerators;
  return !isAmple && !vm.fitsOwnFreedCapacity(size);
}

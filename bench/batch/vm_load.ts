import type {VmView} from '../../src/decisions/placement/vm_table.js';
import {addResources} from '../../src/utilities/resources.js';
import type {Resources} from '../../src/utilities/resources.js';
import {excess, usedBy} from './running_task.js';
import type {RunningTask} from './running_task.js';
import type {SimulatedVmOptions} from './simulated_vm_options.js';

const BASE_TAIL_MILLIS = 20;

type KnownInterference = VmView['interference'][number];

/** What the tasks on a VM use, and what that does to its service. */
export class VmLoad {
  constructor(
    private readonly options: SimulatedVmOptions,
    private readonly running: ReadonlyMap<string, RunningTask>,
  ) {}

  /** How much each kind of task that runs here slows the service down. */
  interference(): readonly KnownInterference[] {
    const kinds = new Map<string, number>();
    for (const {job} of this.running.values()) {
      const {taskKind, slowdowns} = job.truth;
      kinds.set(taskKind, slowdowns.get(this.options.service) ?? 1);
    }
    const {service} = this.options;
    return [...kinds].map(([taskKind, slowdown]) => {
      return {service, taskKind, slowdown};
    });
  }

  /** Used by the service and all tasks. */
  used(): Resources {
    let used = this.options.serviceSize;
    for (const task of this.running.values()) {
      used = addResources(used, usedBy(task));
    }
    return used;
  }

  /** Tail latency of the service, in milliseconds. */
  tailMillis(): number {
    let slowdown = 1;
    const {capacity, service} = this.options;
    for (const {job} of this.running.values()) {
      const {slowdowns, used} = job.truth;
      const share = used.milliprocessors / capacity.milliprocessors;
      slowdown += ((slowdowns.get(service) ?? 1) - 1) * share;
    }
    return BASE_TAIL_MILLIS * slowdown * this.overload() ** 2;
  }

  /** How much longer everything takes, 1 while the processors suffice. */
  overload(): number {
    const {milliprocessors} = this.options.capacity;
    return Math.max(1, this.used().milliprocessors / milliprocessors);
  }

  /** The task that is furthest over its reservation. */
  furthestOver(): RunningTask | undefined {
    let worst: RunningTask | undefined;
    for (const task of this.running.values()) {
      if (!worst || excess(task) > excess(worst)) worst = task;
    }
    return worst;
  }
}

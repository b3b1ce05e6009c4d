import {
  NO_RESOURCES,
  addResources,
  fitsInto,
  subtractResources,
} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';

/** VM states from the last heartbeats, and decisions made since. */

export interface ServiceOnVm {
  readonly service: string;
  /** 99th percentile of response times; 0 while unknown. */
  readonly tailMillis: number;
  /** 0 while unknown. */
  readonly targetMillis: number;
}

/** Slowdown of a service's responses beside a kind of task; 1 means none. */
export interface InterferenceObservation {
  readonly service: string;
  readonly taskKind: string;
  readonly slowdown: number;
}

export interface VmView {
  readonly vm: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly committed: Resources;
  readonly used: Resources;
  readonly draining: boolean;
  readonly stopping: boolean;
  readonly recovering: boolean;
  readonly runningAttempts: number;
  readonly services: readonly ServiceOnVm[];
  readonly interference: readonly InterferenceObservation[];
}

const EXCESS_SMOOTHING = 0.2;
const UNSEEN_SLOWDOWN_DECAY = 0.8;

/** State of one VM. Sizes are separate numbers to keep scans cheap. */
export class VmState {
  view: VmView;
  lastHeartbeatAt: number;
  /** Latest end of any lease granted to attempts on the VM. */
  leasedUntil = -Infinity;
  /** True if settings, health and heartbeat age allow placements. */
  usable = false;
  freeMilliprocessors = 0;
  freeMemoryMegabytes = 0;
  freeAccelerators = 0;
  /** True if the agent refused a start since the last heartbeat. */
  refused = false;
  /** True if the free capacity is left to other shards for now. */
  leftToOthers = false;
  /** Capacity freed by the shard's own attempts since the last heartbeat. */
  ownMilliprocessors = 0;
  ownMemoryMegabytes = 0;
  ownAccelerators = 0;
  /** Number of starts that the agent has not confirmed yet. */
  unconfirmed = 0;
  /** Slowdown by recent placements that reported tails may not show yet. */
  unseenSlowdown = 0;
  /** The shard's own preference among equal VMs, from 0 to 1. */
  preference: number | undefined;
  /** Key of the job for which capacity is reserved until `reservedUntil`. */
  reservedFor = '';
  reservedUntil = 0;
  /** Cached interference penalties by kind of task. */
  readonly penalties = new Map<string, number>();
  /** Attempts not included in the committed size of the last heartbeat. */
  private readonly unseen = new Map<string, Resources>();
  /** Confirmed attempts of `unseen`; the next heartbeat includes them. */
  private readonly confirmed = new Set<string>();
  /** Smoothed usage above the committed size; negative if below it. */
  private excessMilliprocessors = 0;
  private excessMemoryMegabytes = 0;
  /** Total size of attempts that ended since the last heartbeat. */
  private released: Resources = NO_RESOURCES;

  constructor(view: VmView, now: number) {
    this.view = view;
    this.lastHeartbeatAt = now;
    this.refreshFree();
  }

  update(view: VmView, now: number): void {
    this.view = view;
    this.lastHeartbeatAt = now;
    this.refused = false;
    this.released = NO_RESOURCES;
    this.penalties.clear();
    for (const key of this.confirmed) this.unseen.delete(key);
    this.confirmed.clear();
    this.ownMilliprocessors = 0;
    this.ownMemoryMegabytes = 0;
    this.ownAccelerators = 0;
    this.unseenSlowdown *= UNSEEN_SLOWDOWN_DECAY;
    this.noteUsage();
    this.refreshFree();
  }

  place(key: string, size: Resources): void {
    this.unseen.set(key, size);
    this.unconfirmed++;
    this.changeOwn(size, -1);
    this.refreshFree();
  }

  /** Called when the agent confirmed that it runs the attempt. */
  confirm(key: string): void {
    if (!this.unseen.has(key) || this.confirmed.has(key)) return;
    this.confirmed.add(key);
    this.unconfirmed--;
  }

  release(key: string, size: Resources): void {
    if (this.unseen.delete(key)) {
      if (!this.confirmed.delete(key)) this.unconfirmed--;
    } else {
      this.released = addResources(this.released, size);
    }
    this.changeOwn(size, 1);
    this.refreshFree();
  }

  /** True if the capacity freed by the shard's own attempts is enough. */
  fitsOwnFreedCapacity(size: Resources): boolean {
    return (
      size.milliprocessors <= this.ownMilliprocessors &&
      size.memoryMegabytes <= this.ownMemoryMegabytes &&
      size.accelerators <= this.ownAccelerators
    );
  }

  private changeOwn(size: Resources, sign: 1 | -1): void {
    this.ownMilliprocessors += sign * size.milliprocessors;
    this.ownMemoryMegabytes += sign * size.memoryMegabytes;
    this.ownAccelerators += sign * size.accelerators;
  }

  /** Smooths the excess usage, because usage is reported with a delay. */
  private noteUsage(): void {
    const {committed, used} = this.view;
    const excess = subtractResources(used, committed);
    this.excessMilliprocessors +=
      EXCESS_SMOOTHING * (excess.milliprocessors - this.excessMilliprocessors);
    this.excessMemoryMegabytes +=
      EXCESS_SMOOTHING * (excess.memoryMegabytes - this.excessMemoryMegabytes);
  }

  private refreshFree(): void {
    const {capacity, committed} = this.view;
    let taken = subtractResources(committed, this.released);
    for (const size of this.unseen.values()) taken = addResources(taken, size);
    const free = subtractResources(capacity, taken);
    this.freeMilliprocessors =
      free.milliprocessors - Math.max(0, this.excessMilliprocessors);
    this.freeMemoryMegabytes =
      free.memoryMegabytes - Math.max(0, this.excessMemoryMegabytes);
    this.freeAccelerators = free.accelerators;
  }
}

export class VmTable {
  readonly vms: VmState[] = [];
  private readonly byName = new Map<string, VmState>();

  get(vm: string): VmState | undefined {
    return this.byName.get(vm);
  }

  update(view: VmView, now: number): VmState {
    const known = this.byName.get(view.vm);
    if (known) {
      known.update(view, now);
      return known;
    }
    const added = new VmState(view, now);
    this.byName.set(view.vm, added);
    this.vms.push(added);
    return added;
  }

  remove(vm: string): void {
    const state = this.byName.get(vm);
    if (!state) return;
    this.byName.delete(vm);
    this.vms.splice(this.vms.indexOf(state), 1);
  }

  /** True if the size fits on some VM when that VM is empty. */
  couldEverFit(size: Resources): boolean {
    for (const vm of this.vms) {
      if (fitsInto(size, vm.view.capacity)) return true;
    }
    return false;
  }
}

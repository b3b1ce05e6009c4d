import type {VmState, VmView} from './vm_table.js';

const SMOOTHING = 0.2;
const HALF_LIFE_MILLIS = 5 * 60 * 1000;
const MAXIMUM_PAIRS = 4096;
/** Tail ratio assumed for a service without a known tail or target. */
const UNKNOWN_TAIL_RATIO = 0.5;

const HARMLESS_SLOWDOWN = 1.05;
/** Share of a service's target that its expected tail may reach. */
const SAFE_SHARE = 0.9;

interface LearnedPair {
  slowdown: number;
  updatedAt: number;
}

/** Observed slowdown of services by kind of task; decays without updates. */
export class InterferenceTable {
  private readonly pairs = new Map<string, LearnedPair>();

  record(view: VmView, now: number): void {
    for (const {service, taskKind, slowdown} of view.interference) {
      this.learn(`${service}/${taskKind}`, slowdown, now);
    }
  }

  /** Returns the expected slowdown factor; 1 means no slowdown. */
  slowdown(service: string, taskKind: string, now: number): number {
    const pair = this.pairs.get(`${service}/${taskKind}`);
    if (!pair) return 1;
    const age = Math.max(0, now - pair.updatedAt);
    return 1 + (pair.slowdown - 1) * 0.5 ** (age / HALF_LIFE_MILLIS);
  }

  /**
   * Returns the slowdown that the kind causes, summed over the VM's services
   * and weighted by their tail ratios.
   */
  penalty(taskKind: string, vm: VmState): number {
    if (this.pairs.size === 0 || vm.view.services.length === 0) return 0;
    const known = vm.penalties.get(taskKind);
    if (known !== undefined) return known;
    const penalty = this.computePenalty(taskKind, vm);
    vm.penalties.set(taskKind, penalty);
    return penalty;
  }

  /**
   * True if one more task of the kind would raise the tail latency of a service
   * on the VM above the safe share of its target. Includes the slowdown by
   * tasks placed too recently to show in the reported tail latency.
   */
  wouldBeLate(taskKind: string, vm: VmState, share: number): boolean {
    if (this.pairs.size === 0) return false;
    for (const {service, tailMillis, targetMillis} of vm.view.services) {
      if (tailMillis === 0 || targetMillis === 0) continue;
      const slowdown = this.slowdown(service, taskKind, vm.lastHeartbeatAt);
      if (slowdown < HARMLESS_SLOWDOWN) continue;
      const added = vm.unseenSlowdown + (slowdown - 1) * share;
      if (tailMillis * (1 + added) > SAFE_SHARE * targetMillis) return true;
    }
    return false;
  }

  /** Returns the largest slowdown that a task adds to a service of the VM. */
  addedSlowdown(taskKind: string, vm: VmState, share: number): number {
    let worst = 0;
    for (const {service} of vm.view.services) {
      const slowdown = this.slowdown(service, taskKind, vm.lastHeartbeatAt);
      worst = Math.max(worst, (slowdown - 1) * share);
    }
    return worst;
  }

  private computePenalty(taskKind: string, vm: VmState): number {
    let penalty = 0;
    for (const {service, tailMillis, targetMillis} of vm.view.services) {
      const slowdown = this.slowdown(service, taskKind, vm.lastHeartbeatAt);
      const known = tailMillis > 0 && targetMillis > 0;
      const tailRatio = known ? tailMillis / targetMillis : UNKNOWN_TAIL_RATIO;
      penalty += Math.max(0, slowdown - 1) * Math.min(2, tailRatio);
    }
    return penalty;
  }

  private learn(key: string, slowdown: number, now: number): void {
    const pair = this.pairs.get(key);
    if (pair) {
      pair.slowdown += SMOOTHING * (slowdown - pair.slowdown);
      pair.updatedAt = now;
      return;
    }
    if (this.pairs.size >= MAXIMUM_PAIRS) this.forgetOldest();
    this.pairs.set(key, {slowdown, updatedAt: now});
  }

  private forgetOldest(): void {
    let oldestKey = '';
    let oldestAt = Infinity;
    for (const [key, pair] of this.pairs) {
      if (pair.updatedAt >= oldestAt) continue;
      oldestKey = key;
      oldestAt = pair.updatedAt;
    }
    this.pairs.delete(oldestKey);
  }
}

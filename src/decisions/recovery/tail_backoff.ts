const FIRST_WAIT_MILLIS = 5_000;
const MAXIMUM_WAIT_MILLIS = 60_000;
/** Each period of this length without a setback undoes one doubling. */
const DECAY_MILLIS = 60_000;
const MAXIMUM_KINDS = 512;
/** Pairs of kind and VM in a snapshot: about 20 KB. */
const MAXIMUM_ROWS = 256;

/** Kind, VM, doublings, then wall times of the setback and the wait's end. */
export type TailSetbackRow = readonly [string, string, number, number, number];

interface Setback {
  /** Doublings of the wait. */
  level: number;
  notedAt: number;
  until: number;
}

/** The VMs on which a kind of task is not placed for now. */
export interface HeldBackVms {
  isHeldBack(vm: string, now: number): boolean;
}

/**
 * Keeps a kind of task off VMs that recently refused or evicted a task of the
 * kind to protect the tail latency of their service. The backoff applies to the
 * pair: other kinds may start on the VM, and the kind may start on other VMs.
 */
export class TailBackoff {
  private readonly kinds = new Map<string, KindSetbacks>();

  /** Called when the VM refused or evicted a task of the kind. */
  recordSetback(vm: string, taskKind: string, now: number): void {
    this.setbacks(taskKind).setBack(vm, now);
  }

  /** Called when a task is placed; delays the kind's next one on the VM. */
  placed(vm: string, taskKind: string, now: number): void {
    this.kinds.get(taskKind)?.placed(vm, now);
  }

  /** Called when a task of the kind finished beside the service. */
  finished(vm: string, taskKind: string): void {
    this.kinds.get(taskKind)?.finished(vm);
  }

  /** Returns undefined if no setbacks of the kind are recorded. */
  vmsFor(taskKind: string): HeldBackVms | undefined {
    return this.kinds.get(taskKind);
  }

  /** Returns the VMs that each kind is held back from, for operators. */
  dump(now: number): Record<string, readonly string[]> {
    const held: Record<string, readonly string[]> = {};
    for (const [kind, setbacks] of this.kinds) {
      const vms = setbacks.heldBack(now);
      if (vms.length > 0) held[kind] = vms;
    }
    return held;
  }

  /** Returns the pairs with wall times, for a snapshot. */
  rows(wallTimeOffsetMillis: number): readonly TailSetbackRow[] {
    const rows: TailSetbackRow[] = [];
    for (const [kind, setbacks] of this.kinds) {
      for (const [vm, {level, notedAt, until}] of setbacks.byVm) {
        const notedWallTime = notedAt + wallTimeOffsetMillis;
        const untilWallTime = until + wallTimeOffsetMillis;
        rows.push([kind, vm, level, notedWallTime, untilWallTime]);
      }
    }
    rows.sort((left, right) => left[4] - right[4]);
    return rows.slice(-MAXIMUM_ROWS);
  }

  restore(rows: readonly TailSetbackRow[], wallTimeOffsetMillis: number): void {
    for (const [kind, vm, level, notedWallTime, untilWallTime] of rows) {
      const notedAt = notedWallTime - wallTimeOffsetMillis;
      const until = untilWallTime - wallTimeOffsetMillis;
      this.setbacks(kind).byVm.set(vm, {level, notedAt, until});
    }
  }

  private setbacks(taskKind: string): KindSetbacks {
    let setbacks = this.kinds.get(taskKind);
    if (setbacks) return setbacks;
    if (this.kinds.size >= MAXIMUM_KINDS) {
      const [first] = this.kinds.keys();
      this.kinds.delete(first);
    }
    setbacks = new KindSetbacks();
    this.kinds.set(taskKind, setbacks);
    return setbacks;
  }
}

class KindSetbacks implements HeldBackVms {
  readonly byVm = new Map<string, Setback>();

  isHeldBack(vm: string, now: number): boolean {
    const setback = this.byVm.get(vm);
    return setback !== undefined && now < setback.until;
  }

  heldBack(now: number): string[] {
    return [...this.byVm.keys()].filter(vm => this.isHeldBack(vm, now));
  }

  setBack(vm: string, now: number): void {
    this.forgetDecayed(now);
    const before = this.byVm.get(vm);
    const level = before ? levelNow(before, now) + 1 : 0;
    const wait = FIRST_WAIT_MILLIS * 2 ** level;
    const until = now + Math.min(wait, MAXIMUM_WAIT_MILLIS);
    this.byVm.set(vm, {level, notedAt: now, until});
  }

  placed(vm: string, now: number): void {
    const setback = this.byVm.get(vm);
    if (setback) setback.until = now + FIRST_WAIT_MILLIS;
  }

  finished(vm: string): void {
    this.byVm.delete(vm);
  }

  private forgetDecayed(now: number): void {
    for (const [vm, setback] of this.byVm) {
      const held = now < setback.until;
      if (!held && levelNow(setback, now) < 0) this.byVm.delete(vm);
    }
  }
}

/** Returns the level after decay; -1 once it has decayed completely. */
function levelNow({level, notedAt}: Setback, now: number): number {
  const forgotten = Math.floor((now - notedAt) / DECAY_MILLIS);
  return Math.max(-1, level - forgotten);
}

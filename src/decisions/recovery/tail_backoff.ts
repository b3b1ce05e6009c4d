const FIRST_WAIT_MILLIS = 5_000;
const LONGEST_WAIT_MILLIS = 60_000;
/** Without a setback for so long, one doubling of the wait is forgotten. */
const DECAY_MILLIS = 60_000;
const MAXIMUM_KINDS = 512;
/** Pairs that a snapshot holds: about 20 KB. */
const MAXIMUM_ROWS = 256;

/** Kind, VM, doublings, then wall times of the setback and the wait's end. */
export type TailSetbackRow = readonly [string, string, number, number, number];

interface Setback {
  /** Doublings of the wait. */
  level: number;
  notedAt: number;
  until: number;
}

/** The VMs that a kind of task stays away from. */
export interface HeldBackVms {
  isHeldBack(vm: string, now: number): boolean;
}

/**
 * Keeps a kind of task away from VMs that lately refused or evicted one of it
 * for the tail of their service. The wait is that of the pair: other kinds
 * start there, and the kind starts elsewhere.
 */
export class TailBackoff {
  private readonly kinds = new Map<string, KindSetbacks>();

  /** The VM refused or evicted a task of the kind. */
  setBack(vm: string, taskKind: string, now: number): void {
    this.setbacks(taskKind).setBack(vm, now);
  }

  /** A start was sent: the next one waits for what becomes of it. */
  placed(vm: string, taskKind: string, now: number): void {
    this.kinds.get(taskKind)?.placed(vm, now);
  }

  /** A task of the kind ran to its end beside the service. */
  finished(vm: string, taskKind: string): void {
    this.kinds.get(taskKind)?.finished(vm);
  }

  /** Undefined when no VM holds the kind back. */
  vmsFor(taskKind: string): HeldBackVms | undefined {
    return this.kinds.get(taskKind);
  }

  /** The VMs that each kind waits for, for people. */
  dump(now: number): Record<string, readonly string[]> {
    const held: Record<string, readonly string[]> = {};
    for (const [kind, setbacks] of this.kinds) {
      const vms = setbacks.heldBack(now);
      if (vms.length > 0) held[kind] = vms;
    }
    return held;
  }

  /** The pairs with wall times, for a snapshot. */
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
    const until = now + Math.min(wait, LONGEST_WAIT_MILLIS);
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

/** What is left of the level after the time without a setback. */
function levelNow({level, notedAt}: Setback, now: number): number {
  const forgotten = Math.floor((now - notedAt) / DECAY_MILLIS);
  return Math.max(-1, level - forgotten);
}

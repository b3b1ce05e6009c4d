const FIRST_QUARANTINE_MILLIS = 10_000;
const MAXIMUM_QUARANTINE_MILLIS = 10 * 60 * 1000;
const QUARANTINE_SCORE = 2.5;
const SUCCESS_FACTOR = 0.3;
/** A failure is no evidence while no other VM has run the kind. */
const UNKNOWN_WEIGHT = 0;
const MAXIMUM_KINDS = 512;
const PROBE_SPACING_MILLIS = 5000;
/** Suspect VMs in a snapshot: about 10 KB. */
const MAXIMUM_ROWS = 128;

/**
 * VM, score, quarantines, then wall times of the end of the quarantine and of
 * the next probe, and 1 while the VM is being probed.
 */
export type SuspectRow = readonly [
  string,
  number,
  number,
  number,
  number,
  number,
];

/** Detects VMs on which tasks fail that succeed on other VMs. */
export interface QuarantinePolicy {
  recordSuccess(vm: string, taskKind: string): void;
  recordFailure(vm: string, taskKind: string, now: number): void;
  recordPlacement(vm: string, now: number): void;
  /** True if a task may start on the VM now. */
  admits(vm: string, now: number): boolean;
  /** Returns the quarantined VMs with the end of each quarantine. */
  quarantined(now: number): ReadonlyMap<string, number>;
  /** Returns the suspect VMs with wall times, for a snapshot. */
  rows(wallTimeOffsetMillis: number): readonly SuspectRow[];
  restore(rows: readonly SuspectRow[], wallTimeOffsetMillis: number): void;
}

/** Never quarantines a VM. */
export class NoQuarantinePolicy implements QuarantinePolicy {
  recordSuccess(): void {}

  recordFailure(): void {}

  recordPlacement(): void {}

  admits(): boolean {
    return true;
  }

  quarantined(): ReadonlyMap<string, number> {
    return new Map();
  }

  rows(): readonly SuspectRow[] {
    return [];
  }

  restore(): void {}
}

interface Suspect {
  score: number;
  quarantines: number;
  until: number;
  /** True from the start of a quarantine until a task succeeds on the VM. */
  probing: boolean;
  nextProbeAt: number;
}

/**
 * Weights a failure by the share of other VMs on which the same kind of task
 * last succeeded, so that a kind that fails everywhere quarantines no VM. After
 * its quarantine a VM gets single probe tasks at intervals until one succeeds.
 */
export class WorkerQuarantine implements QuarantinePolicy {
  private readonly suspects = new Map<string, Suspect>();
  private readonly lastSucceeded = new Map<string, Map<string, boolean>>();

  recordSuccess(vm: string, taskKind: string): void {
    this.outcomes(taskKind).set(vm, true);
    const suspect = this.suspects.get(vm);
    if (!suspect) return;
    suspect.score *= SUCCESS_FACTOR;
    suspect.probing = false;
    if (suspect.score < 0.1) this.suspects.delete(vm);
  }

  recordFailure(vm: string, taskKind: string, now: number): void {
    const outcomes = this.outcomes(taskKind);
    outcomes.set(vm, false);
    const suspect = this.suspect(vm);
    if (now < suspect.until) return;
    suspect.score += failureWeight(vm, outcomes);
    const failedProbe = suspect.probing && failureWeight(vm, outcomes) > 0.5;
    if (suspect.score < QUARANTINE_SCORE && !failedProbe) return;
    const length = FIRST_QUARANTINE_MILLIS * 2 ** suspect.quarantines;
    suspect.until = now + Math.min(length, MAXIMUM_QUARANTINE_MILLIS);
    suspect.quarantines++;
    suspect.score = 0;
    suspect.probing = true;
  }

  recordPlacement(vm: string, now: number): void {
    const suspect = this.suspects.get(vm);
    if (suspect) suspect.nextProbeAt = now + PROBE_SPACING_MILLIS;
  }

  admits(vm: string, now: number): boolean {
    const suspect = this.suspects.get(vm);
    if (!suspect) return true;
    if (now < suspect.until) return false;
    return !suspect.probing || now >= suspect.nextProbeAt;
  }

  quarantined(now: number): ReadonlyMap<string, number> {
    const quarantined = new Map<string, number>();
    for (const [vm, suspect] of this.suspects) {
      if (now < suspect.until) quarantined.set(vm, suspect.until);
    }
    return quarantined;
  }

  /** Returns the suspects added last, as they stay relevant longest. */
  rows(wallTimeOffsetMillis: number): readonly SuspectRow[] {
    const latest = [...this.suspects].slice(-MAXIMUM_ROWS);
    return latest.map(([vm, suspect]) => [
      vm,
      suspect.score,
      suspect.quarantines,
      suspect.until + wallTimeOffsetMillis,
      suspect.nextProbeAt + wallTimeOffsetMillis,
      suspect.probing ? 1 : 0,
    ]);
  }

  restore(rows: readonly SuspectRow[], wallTimeOffsetMillis: number): void {
    for (const [vm, score, quarantines, until, nextProbeAt, probing] of rows) {
      this.suspects.set(vm, {
        score,
        quarantines,
        until: until - wallTimeOffsetMillis,
        nextProbeAt: nextProbeAt - wallTimeOffsetMillis,
        probing: probing === 1,
      });
    }
  }

  private suspect(vm: string): Suspect {
    let suspect = this.suspects.get(vm);
    if (!suspect) {
      suspect = {
        score: 0,
        quarantines: 0,
        until: 0,
        probing: false,
        nextProbeAt: 0,
      };
      this.suspects.set(vm, suspect);
    }
    return suspect;
  }

  private outcomes(taskKind: string): Map<string, boolean> {
    let outcomes = this.lastSucceeded.get(taskKind);
    if (outcomes) return outcomes;
    if (this.lastSucceeded.size >= MAXIMUM_KINDS) {
      const [first] = this.lastSucceeded.keys();
      this.lastSucceeded.delete(first);
    }
    outcomes = new Map();
    this.lastSucceeded.set(taskKind, outcomes);
    return outcomes;
  }
}

/** Returns the share of the other VMs on which the kind last succeeded. */
function failureWeight(vm: string, outcomes: Map<string, boolean>): number {
  let others = 0;
  let succeeded = 0;
  for (const [other, success] of outcomes) {
    if (other === vm) continue;
    others++;
    if (success) succeeded++;
  }
  return others === 0 ? UNKNOWN_WEIGHT : succeeded / others;
}

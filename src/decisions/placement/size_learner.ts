import {
  NO_RESOURCES,
  fitsInto,
  maximumResources,
} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';

const MAXIMUM_KINDS = 4096;
/** Most recently used kinds that a snapshot holds: about 40 KB. */
const MAXIMUM_ROWS = 512;
/** Share by which the learned usage decays with every attempt. */
const DECAY_SHARE = 0.05;
const HEADROOM = 1.1;
/**
 * Maximum ratio of learned to declared size. Processors are time-shared, so
 * only a lasting excess justifies more reserved capacity.
 */
const MAXIMUM_RAISE_FACTOR = 4;
const RUN_SMOOTHING = 0.2;

/** Team and kind, milliprocessors, megabytes, accelerators, run time. */
export type SizeRow = readonly [string, number, number, number, number];

interface Learned {
  used: Resources;
  runMillis: number;
}

/** Learns sizes and run times from attempts, by team and kind of task. */
export interface SizeLearner {
  record(
    team: string,
    taskKind: string,
    used: Resources,
    ranMillis: number,
    finished: boolean,
  ): void;
  /** Learns from a size that an earlier owner of the shard reserved. */
  recordReservation(team: string, taskKind: string, reserved: Resources): void;
  /** Returns the most recently used kinds, for a snapshot. */
  rows(): readonly SizeRow[];
  restore(rows: readonly SizeRow[]): void;
  /** Returns the size to reserve, which is never below the declared one. */
  reservation(team: string, taskKind: string, declared: Resources): Resources;
  /** Returns the expected run time, or the declared one if none is learned. */
  runMillis(team: string, taskKind: string, declared: number): number;
}

/** Learns the peak usage, which decays slowly. */
export class PeakSizeLearner implements SizeLearner {
  private readonly kinds = new Map<string, Learned>();

  record(
    team: string,
    taskKind: string,
    used: Resources,
    ranMillis: number,
    finished: boolean,
  ): void {
    const learned = this.learned(`${team}/${taskKind}`);
    learned.used = maximumResources(scale(learned.used, 1 - DECAY_SHARE), used);
    if (!finished) return;
    const known = learned.runMillis > 0;
    const difference = ranMillis - learned.runMillis;
    learned.runMillis += known ? RUN_SMOOTHING * difference : difference;
  }

  recordReservation(team: string, taskKind: string, reserved: Resources): void {
    const learned = this.learned(`${team}/${taskKind}`);
    const used = scale(reserved, 1 / HEADROOM);
    learned.used = maximumResources(learned.used, used);
  }

  rows(): readonly SizeRow[] {
    const latest = [...this.kinds].slice(-MAXIMUM_ROWS);
    return latest.map(([key, {used, runMillis}]) => [
      key,
      used.milliprocessors,
      used.memoryMegabytes,
      used.accelerators,
      runMillis,
    ]);
  }

  restore(rows: readonly SizeRow[]): void {
    for (const row of rows) {
      const [key, milliprocessors, memoryMegabytes, accelerators, run] = row;
      const used = {milliprocessors, memoryMegabytes, accelerators};
      this.kinds.set(key, {used, runMillis: run});
    }
  }

  reservation(team: string, taskKind: string, declared: Resources): Resources {
    const learned = this.kinds.get(`${team}/${taskKind}`);
    if (!learned || fitsInto(learned.used, declared)) return declared;
    return {
      milliprocessors: raise(
        declared.milliprocessors,
        learned.used.milliprocessors,
      ),
      memoryMegabytes: raise(
        declared.memoryMegabytes,
        learned.used.memoryMegabytes,
      ),
      accelerators: declared.accelerators,
    };
  }

  runMillis(team: string, taskKind: string, declared: number): number {
    return this.kinds.get(`${team}/${taskKind}`)?.runMillis || declared;
  }

  private learned(key: string): Learned {
    let learned = this.kinds.get(key);
    if (learned) {
      // Keeps the most recently used kinds at the end of the map.
      this.kinds.delete(key);
      this.kinds.set(key, learned);
      return learned;
    }
    if (this.kinds.size >= MAXIMUM_KINDS) {
      const [first] = this.kinds.keys();
      this.kinds.delete(first);
    }
    learned = {used: NO_RESOURCES, runMillis: 0};
    this.kinds.set(key, learned);
    return learned;
  }
}

function raise(declared: number, used: number): number {
  if (used <= declared) return declared;
  return Math.ceil(Math.min(used * HEADROOM, declared * MAXIMUM_RAISE_FACTOR));
}

function scale(size: Resources, factor: number): Resources {
  return {
    milliprocessors: Math.floor(size.milliprocessors * factor),
    memoryMegabytes: Math.floor(size.memoryMegabytes * factor),
    accelerators: Math.floor(size.accelerators * factor),
  };
}

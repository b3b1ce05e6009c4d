import {
  NO_RESOURCES,
  fitsInto,
  maximumResources,
} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';

const MAXIMUM_KINDS = 4096;
/** The kinds lately used that a snapshot holds: about 40 KB. */
const MAXIMUM_ROWS = 512;
/** A little of the learned excess is forgotten with every attempt. */
const FORGETTING_SHARE = 0.05;
const HEADROOM = 1.1;
/** Processors are shared in time: only a lasting excess is worth room. */
const LARGEST_RAISE = 4;
const RUN_SMOOTHING = 0.2;

/** Team and kind, milliprocessors, megabytes, accelerators, run time. */
export type SizeRow = readonly [string, number, number, number, number];

interface Learned {
  used: Resources;
  runMillis: number;
}

/** Sizes and run times of a team's kinds of tasks, as attempts showed them. */
export interface SizeLearner {
  note(
    team: string,
    taskKind: string,
    used: Resources,
    ranMillis: number,
    finished: boolean,
  ): void;
  /** Learns from what an earlier owner reserved. */
  noteReservation(team: string, taskKind: string, reserved: Resources): void;
  /** What was learned lately, for a snapshot. */
  rows(): readonly SizeRow[];
  restore(rows: readonly SizeRow[]): void;
  /** The size to reserve: never below the declared one. */
  reservation(team: string, taskKind: string, declared: Resources): Resources;
  /** Expected run time; the declared one while nothing is learned. */
  runMillis(team: string, taskKind: string, declared: number): number;
}

/** Learns the highest usage, and forgets it slowly. */
export class PeakSizeLearner implements SizeLearner {
  private readonly kinds = new Map<string, Learned>();

  note(
    team: string,
    taskKind: string,
    used: Resources,
    ranMillis: number,
    finished: boolean,
  ): void {
    const learned = this.learned(`${team}/${taskKind}`);
    learned.used = maximumResources(
      scale(learned.used, 1 - FORGETTING_SHARE),
      used,
    );
    if (!finished) return;
    const known = learned.runMillis > 0;
    const difference = ranMillis - learned.runMillis;
    learned.runMillis += known ? RUN_SMOOTHING * difference : difference;
  }

  noteReservation(team: string, taskKind: string, reserved: Resources): void {
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
      // The kinds lately used stand last.
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
  return Math.ceil(Math.min(used * HEADROOM, declared * LARGEST_RAISE));
}

function scale(size: Resources, factor: number): Resources {
  return {
    milliprocessors: Math.floor(size.milliprocessors * factor),
    memoryMegabytes: Math.floor(size.memoryMegabytes * factor),
    accelerators: Math.floor(size.accelerators * factor),
  };
}

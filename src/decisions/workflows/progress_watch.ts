import type {PlacedRun} from './workflow.js';
import type {WorkerView} from './worker_view.js';

/** A run that does not advance at all for this long stands still. */
const STANDSTILL_MILLIS = 1_300;
/** The share of its estimate that a long task may stand still. */
const STANDSTILL_SHARE = 0.3;
/** A filling run may find no unused processors for a while. */
const FILL_STANDSTILL_MILLIS = 3_000;
/** A lasting task is at work after a short start-up. */
const START_UP_MILLIS = 4_000;
/** A run is slow if ending it here takes this many times as long as anew. */
const SLOW_FACTOR = 2;
/** Tasks of the same step that have to be known to judge another by them. */
const LEAST_SIBLINGS = 2;
/** Before so much of a run was seen its speed is not judged. */
const LEAST_SEEN_MILLIS = 800;
/** A task that was begun so often is left to end where it is, if it advances. */
const MOST_RUNS_FOR_SPEED = 2;
/** Beyond the work itself, for stopping a run and starting another. */
const RESTART_MILLIS = 400;
const ALL_PERCENT = 100;

/** Why a run is better given up. */
export const Stall = {
  /** It stands still; its worker may too. */
  STANDSTILL: 'it stands still',
  /** It advances much slower than it would elsewhere. */
  SLOW: 'it is slow',
  /** A lasting task has not begun to work. */
  NEVER_AT_WORK: 'it does not come to work',
} as const;
export type Stall = (typeof Stall)[keyof typeof Stall];

export interface StalledRun {
  readonly placed: PlacedRun;
  readonly stall: Stall;
}

interface Progress {
  readonly seenAt: number;
  readonly firstPercent: number;
  percent: number;
  advancedAt: number;
}

/**
 * Finds runs that would end sooner if they were begun anew elsewhere.
 *
 * Load pattern: a worker answers and lists its runs, and yet they stand still
 * or crawl for seconds, several times as long as the work would take. Waiting
 * for them makes their workflows late; beginning anew costs what was done. The
 * other tasks of a step tell how long one takes, since estimates are far off.
 */
export class ProgressWatch {
  private readonly progress = new Map<string, Progress>();
  /** How long the tasks of a step take, by step and task. */
  private readonly durations = new Map<string, Map<string, number>>();

  /** To be called with each listing of a worker. */
  observe(view: WorkerView, now: number): StalledRun[] {
    const stalled: StalledRun[] = [];
    for (const [name, placed] of view.placed) {
      const run = view.running.get(name);
      if (!run || placed.placement.stopping) {
        this.progress.delete(name);
        continue;
      }
      const isPaced = (view.paces.get(name) ?? ALL_PERCENT) < ALL_PERCENT;
      const known = this.note(name, run.percent, now, isPaced);
      if (isPaced) continue;
      this.noteDuration(placed, known, now);
      const stall = this.judge(placed, known, now);
      if (stall) stalled.push({placed, stall});
    }
    return stalled;
  }

  forget(name: string): void {
    this.progress.delete(name);
  }

  /** Nothing more is to be known of the workflow. */
  forgetWorkflow(id: string): void {
    for (const known of [this.progress, this.durations]) {
      for (const name of known.keys()) {
        if (name.startsWith(`${id}.`)) known.delete(name);
      }
    }
  }

  private note(
    name: string,
    percent: number,
    now: number,
    isPaced: boolean,
  ): Progress {
    const known = this.progress.get(name);
    if (!known || isPaced) {
      const fresh = {
        seenAt: now,
        firstPercent: percent,
        percent,
        advancedAt: now,
      };
      this.progress.set(name, fresh);
      return fresh;
    }
    if (percent !== known.percent) {
      known.percent = percent;
      known.advancedAt = now;
    }
    return known;
  }

  /** Projects how long the task takes in all, from what was seen of it. */
  private noteDuration(
    {reference}: PlacedRun,
    known: Progress,
    now: number,
  ): void {
    const advanced = known.percent - known.firstPercent;
    if (advanced <= 0 || now - known.seenAt < LEAST_SEEN_MILLIS / 2) return;
    const key = stepKey(reference);
    const ofStep = this.durations.get(key) ?? new Map<string, number>();
    this.durations.set(key, ofStep);
    const projected = ((now - known.seenAt) * ALL_PERCENT) / advanced;
    ofStep.set(String(reference.name.index), projected);
  }

  /** The median of the other tasks of the step; undefined if few are known. */
  private expectedMillis({reference}: PlacedRun): number | undefined {
    const own = String(reference.name.index);
    const others: number[] = [];
    for (const [index, millis] of this.durations.get(stepKey(reference)) ??
      []) {
      if (index !== own) others.push(millis);
    }
    if (others.length < LEAST_SIBLINGS) return undefined;
    others.sort((left, right) => left - right);
    return others[Math.floor((others.length - 1) / 2)];
  }

  private judge(
    placed: PlacedRun,
    known: Progress,
    now: number,
  ): Stall | undefined {
    const {step, task} = placed.reference;
    if (step.lasting) {
      if (known.percent >= ALL_PERCENT) return undefined;
      const isOverdue = now - known.seenAt > START_UP_MILLIS;
      return isOverdue ? Stall.NEVER_AT_WORK : undefined;
    }
    const stillMillis = now - known.advancedAt;
    const allowed = step.fills
      ? FILL_STANDSTILL_MILLIS
      : Math.max(STANDSTILL_MILLIS, STANDSTILL_SHARE * step.estimateMillis);
    if (stillMillis > allowed) return Stall.STANDSTILL;
    if (step.fills || step.gang) return undefined;
    if (task.lastRun > MOST_RUNS_FOR_SPEED) return undefined;
    return this.isSlow(placed, known, now) ? Stall.SLOW : undefined;
  }

  private isSlow(placed: PlacedRun, known: Progress, now: number): boolean {
    const seenMillis = now - known.seenAt;
    const expected = this.expectedMillis(placed);
    if (seenMillis < LEAST_SEEN_MILLIS || expected === undefined) return false;
    const advanced = known.percent - known.firstPercent;
    const left = ALL_PERCENT - known.percent;
    const leftMillis = (left * seenMillis) / Math.max(1, advanced);
    const {checkpoints} = placed.reference.step;
    const share = checkpoints ? left / ALL_PERCENT : 1;
    return leftMillis > SLOW_FACTOR * (expected * share + RESTART_MILLIS);
  }
}

function stepKey({name}: PlacedRun['reference']): string {
  return `${name.workflow}.${name.occurrence}.${name.step}`;
}

import type {PlacedRun} from './workflow.js';
import type {WorkerView} from './worker_view.js';

/** A run without any progress for this long is stalled. */
const NO_PROGRESS_MILLIS = 1_300;
/** Above the interval between run lists, and well below the time of a stall. */
const ADVANCING_MILLIS = 650;
/** A long task may make no progress for this share of its estimate. */
const NO_PROGRESS_SHARE = 0.3;
/** Longer, as a best-effort run may find no unused processors for a while. */
const BEST_EFFORT_NO_PROGRESS_MILLIS = 3_000;
/** Maximum start-up time of a long-running task. */
const START_UP_MILLIS = 4_000;
/** A run is slow if finishing it takes this many times as long as a restart. */
const SLOW_FACTOR = 2;
/** Minimum number of other tasks of the step that a run is compared with. */
const MINIMUM_SIBLINGS = 2;
/** Minimum time for which a run is observed before its speed is judged. */
const MINIMUM_OBSERVED_MILLIS = 800;
/** After this many runs a task is no longer moved while it makes progress. */
const MAXIMUM_RUNS_FOR_SPEED = 2;
/** Time to stop a run and start another one, in addition to its work. */
const RESTART_MILLIS = 400;
const ALL_PERCENT = 100;

/** The reason to stop a run and start it again elsewhere. */
export const Stall = {
  /** The run makes no progress; its worker may be paused as a whole. */
  NO_PROGRESS: 'it makes no progress',
  /** The run is much slower than it would be elsewhere. */
  SLOW: 'it is slow',
  /** A long-running task has not completed its start-up. */
  START_UP_OVERDUE: 'it has not completed its start-up',
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
 * Finds runs that would finish sooner if they were restarted on another worker.
 *
 * Load pattern: a worker responds and lists its runs, but these are paused or
 * throttled for seconds, several times as long as the work would take. Waiting
 * for them makes their workflows late; a restart loses the work done so far.
 * The expected duration comes from the other tasks of the step, since estimates
 * are far off.
 */
export class ProgressMonitor {
  private readonly progress = new Map<string, Progress>();
  /** Projected durations of tasks, by step and by index in the step. */
  private readonly durations = new Map<string, Map<string, number>>();

  /** Called with each run list of a worker. */
  observe(view: WorkerView, now: number): StalledRun[] {
    const stalled: StalledRun[] = [];
    for (const [name, placed] of view.placed) {
      const run = view.running.get(name);
      if (!run || placed.placement.stopping) {
        this.progress.delete(name);
        continue;
      }
      const isPaced = (view.paces.get(name) ?? ALL_PERCENT) < ALL_PERCENT;
      const known = this.recordProgress(name, run.percent, now, isPaced);
      if (isPaced) continue;
      this.recordDuration(placed, known, now);
      const stall = this.findStall(placed, known, now);
      if (stall) stalled.push({placed, stall});
    }
    return stalled;
  }

  /** True if the run, by its name, has made progress just now. */
  isAdvancing(name: string, now: number): boolean {
    const known = this.progress.get(name);
    if (!known || known.percent <= known.firstPercent) return false;
    return now - known.advancedAt < ADVANCING_MILLIS;
  }

  /** Returns the last progress of the run in percent; 0 if it is unknown. */
  percentOf(name: string): number {
    return this.progress.get(name)?.percent ?? 0;
  }

  forget(name: string): void {
    this.progress.delete(name);
  }

  /** Discards all progress and durations of the workflow. */
  forgetWorkflow(id: string): void {
    for (const known of [this.progress, this.durations]) {
      for (const name of known.keys()) {
        if (name.startsWith(`${id}.`)) known.delete(name);
      }
    }
  }

  private recordProgress(
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

  /** Projects the total duration of the task from the observed progress. */
  private recordDuration(
    {reference}: PlacedRun,
    known: Progress,
    now: number,
  ): void {
    const advanced = known.percent - known.firstPercent;
    if (advanced <= 0 || now - known.seenAt < MINIMUM_OBSERVED_MILLIS / 2)
      return;
    const key = stepKey(reference);
    const ofStep = this.durations.get(key) ?? new Map<string, number>();
    this.durations.set(key, ofStep);
    const projected = ((now - known.seenAt) * ALL_PERCENT) / advanced;
    ofStep.set(String(reference.name.index), projected);
  }

  /** Returns the median of the other tasks; undefined if too few are known. */
  private expectedMillis({reference}: PlacedRun): number | undefined {
    const own = String(reference.name.index);
    const others: number[] = [];
    for (const [index, millis] of this.durations.get(stepKey(reference)) ??
      []) {
      if (index !== own) others.push(millis);
    }
    if (others.length < MINIMUM_SIBLINGS) return undefined;
    others.sort((left, right) => left - right);
    return others[Math.floor((others.length - 1) / 2)];
  }

  private findStall(
    placed: PlacedRun,
    known: Progress,
    now: number,
  ): Stall | undefined {
    const {step, task} = placed.reference;
    if (step.lasting) {
      if (known.percent >= ALL_PERCENT) return undefined;
      const isOverdue = now - known.seenAt > START_UP_MILLIS;
      return isOverdue ? Stall.START_UP_OVERDUE : undefined;
    }
    const noProgressMillis = now - known.advancedAt;
    const allowed = step.fills
      ? BEST_EFFORT_NO_PROGRESS_MILLIS
      : Math.max(NO_PROGRESS_MILLIS, NO_PROGRESS_SHARE * step.estimateMillis);
    if (noProgressMillis > allowed) return Stall.NO_PROGRESS;
    if (step.fills || step.gang) return undefined;
    if (task.lastRun > MAXIMUM_RUNS_FOR_SPEED) return undefined;
    return this.isSlow(placed, known, now) ? Stall.SLOW : undefined;
  }

  private isSlow(placed: PlacedRun, known: Progress, now: number): boolean {
    const observedMillis = now - known.seenAt;
    const expected = this.expectedMillis(placed);
    if (observedMillis < MINIMUM_OBSERVED_MILLIS || expected === undefined)
      return false;
    const advanced = known.percent - known.firstPercent;
    const left = ALL_PERCENT - known.percent;
    const leftMillis = (left * observedMillis) / Math.max(1, advanced);
    const {checkpoints} = placed.reference.step;
    const share = checkpoints ? left / ALL_PERCENT : 1;
    return leftMillis > SLOW_FACTOR * (expected * share + RESTART_MILLIS);
  }
}

function stepKey({name}: PlacedRun['reference']): string {
  return `${name.workflow}.${name.occurrence}.${name.step}`;
}

import {MINIMUM_INTERFERENCE} from './image_interference.js';
import type {
  ImageInterference,
  Tail,
  TailSample,
} from './image_interference.js';
import type {PlacedRun} from './workflow.js';
import type {WorkerView} from './worker_view.js';

/** Tail ratio from which best-effort runs are slowed. */
const HIGH_RATIO = 0.92;
/** Tail ratio that pacing aims at, and up to which paces are raised. */
const TARGET_RATIO = 0.8;
/** A tail ratio from which pacing acts without waiting for the last change. */
const ALARM_RATIO = 1.2;
/** A measurement covers 0.5 s, and a new pace takes 0.1 s to have effect. */
const SETTLING_MILLIS = 650;
const FULL_PERCENT = 100;
const RAISE_PERCENT = 35;
/**
 * If known interference does not explain a tail over its target for this long,
 * the runs with uncertain estimates are slowed to this share, and a second
 * later all best-effort runs. The tail may be over its target for 4 s.
 */
const UNEXPLAINED_MILLIS = 1_200;
const LONG_UNEXPLAINED_MILLIS = 2_200;
const UNEXPLAINED_SHARE = 0.4;
/** A run that is slowed to less than this is paused. */
const MINIMUM_PERCENT = 10;
/** A run that uses a smaller share of its processors was slowed before. */
const SLOWED_SHARE = 0.6;
/** Samples closer together cover the same half second. */
const MINIMUM_SAMPLE_MILLIS = 400;
/** Progress of a latency-critical run that has completed its start-up. */
const STARTED_PERCENT = 100;
/** Smaller changes are not sent, as they are not worth a call. */
const MINIMUM_CHANGE_PERCENT = 5;

/** A decision to change the pace of a run. */
export interface PaceDecision {
  readonly placed: PlacedRun;
  readonly percent: number;
}

/** A best-effort run with its pace and the processors that it uses. */
interface BestEffortRun {
  readonly name: string;
  readonly placed: PlacedRun;
  /** Processors at the present pace. */
  milliprocessors: number;
  percent: number;
}

/** State of one worker between measurements. */
interface PacedWorker {
  /** Time of the last change of a pace. */
  changedAt: number;
  measured: string;
  measuredAt: number;
  /** Time since which a tail is over its target for an unknown reason. */
  unexplainedSince: number;
  /** The last samples of latency-critical runs after their start-up, by run. */
  samples: ReadonlyMap<string, TailSample>;
}

/**
 * Paces best-effort runs so that latency-critical runs on the same worker keep
 * their tail targets.
 *
 * Load pattern: tails vary with the load of latency-critical runs and jump when
 * a run of an interfering image starts on the worker. Of the runs that
 * interfere with the tail at risk, the least important are slowed first: one
 * run at full speed finishes soon, while many throttled ones never do.
 */
export class BestEffortPacer {
  private readonly workers = new Map<string, PacedWorker>();

  constructor(
    private readonly interference: ImageInterference,
    /** Negative if the left run is to be slowed after the right one. */
    private readonly compare: (left: PlacedRun, right: PlacedRun) => number,
  ) {}

  /** Called with each run list; decides once per measurement. */
  decide(view: WorkerView, now: number): PaceDecision[] {
    const worker = this.workerOf(view.key);
    const measured = measurementOf(view);
    if (measured === worker.measured) return [];
    worker.measured = measured;
    const tails = view.tails;
    const runs = this.bestEffortRuns(view);
    this.learn(view, worker, runs, now);
    if (runs.length === 0) return [];
    const worst = Math.max(0, ...tails.map(({ratio}) => ratio));
    const age = now - worker.changedAt;
    if (age < SETTLING_MILLIS && worst < ALARM_RATIO) return [];
    const before = new Map(runs.map(run => [run.name, run.percent]));
    const capacity = view.traits.room.milliprocessors;
    if (worst <= 1) worker.unexplainedSince = Infinity;
    if (worst < HIGH_RATIO) this.raise(tails, runs, capacity);
    else if (!this.lower(tails, runs, capacity)) {
      worker.unexplainedSince = Math.min(worker.unexplainedSince, now);
      const unexplained = now - worker.unexplainedSince;
      if (unexplained >= UNEXPLAINED_MILLIS) {
        this.slowSuspects(tails, runs, unexplained);
      }
    }
    const decisions = changesOf(view, runs, before);
    if (decisions.length > 0) worker.changedAt = now;
    return decisions;
  }

  /** Called when the worker was removed. */
  forget(worker: string): void {
    this.workers.delete(worker);
  }

  private workerOf(key: string): PacedWorker {
    const known = this.workers.get(key);
    if (known) return known;
    const worker: PacedWorker = {
      changedAt: -Infinity,
      measured: '',
      measuredAt: -Infinity,
      unexplainedSince: Infinity,
      samples: new Map(),
    };
    this.workers.set(key, worker);
    return worker;
  }

  private learn(
    view: WorkerView,
    worker: PacedWorker,
    runs: readonly BestEffortRun[],
    now: number,
  ): void {
    const elapsed = now - worker.measuredAt;
    const samples = samplesOf(view, runs);
    if (elapsed < MINIMUM_SAMPLE_MILLIS) return;
    for (const [name, sample] of samples) {
      const before = worker.samples.get(name);
      if (before) this.interference.observe(before, sample, elapsed);
    }
    worker.samples = samples;
    worker.measuredAt = now;
  }

  /**
   * Slows the runs that interfere with tails at risk. False if a tail is over
   * its target and known interference does not explain it.
   */
  private lower(
    tails: readonly Tail[],
    runs: readonly BestEffortRun[],
    capacity: number,
  ): boolean {
    let isExplained = true;
    for (const {image, ratio} of tails) {
      if (ratio < HIGH_RATIO) continue;
      let excess = Math.log(ratio / TARGET_RATIO);
      const interferingRuns = [...runs]
        .reverse()
        .map(run => ({
          run,
          interference: this.interferenceOf(image, run, capacity),
        }))
        .filter(({interference}) => interference >= MINIMUM_INTERFERENCE);
      const explained = interferingRuns.reduce(
        (sum, each) => sum + each.interference,
        0,
      );
      if (ratio > 1 && explained < excess / 2) isExplained = false;
      for (const {run, interference} of interferingRuns) {
        if (excess <= 0) break;
        const reduction = Math.min(interference, excess);
        scale(run, 1 - reduction / interference);
        excess -= reduction;
      }
    }
    return isExplained;
  }

  /** Slows runs that may be the unknown cause of a high tail. */
  private slowSuspects(
    tails: readonly Tail[],
    runs: readonly BestEffortRun[],
    unexplainedMillis: number,
  ): void {
    const highTails = tails.filter(({ratio}) => ratio >= HIGH_RATIO);
    for (const run of runs) {
      const isKnown = highTails.every(({image}) =>
        this.interference.isCertain(image, imageOf(run)),
      );
      if (isKnown && unexplainedMillis < LONG_UNEXPLAINED_MILLIS) continue;
      scale(run, UNEXPLAINED_SHARE);
    }
  }

  private raise(
    tails: readonly Tail[],
    runs: readonly BestEffortRun[],
    capacity: number,
  ): void {
    const ratios = tails.map(({ratio}) => ratio);
    const slowed = runs.filter(({percent}) => percent < FULL_PERCENT);
    for (const run of slowed) {
      const share = run.placed.reference.step.size.milliprocessors / capacity;
      const interferences = tails.map(
        ({image}) =>
          this.interference.interferenceOf(image, imageOf(run)) * share,
      );
      const isLight = interferences.every(
        interference => interference < MINIMUM_INTERFERENCE,
      );
      const maximumStep = isLight ? FULL_PERCENT : RAISE_PERCENT;
      let step = Math.min(maximumStep, FULL_PERCENT - run.percent);
      for (const [index, interference] of interferences.entries()) {
        if (interference < MINIMUM_INTERFERENCE) continue;
        const left = Math.max(0, Math.log(TARGET_RATIO / ratios[index]));
        step = Math.min(step, (FULL_PERCENT * left) / interference);
      }
      run.percent += step;
      for (const [index, interference] of interferences.entries()) {
        ratios[index] *= Math.exp(interference * (step / FULL_PERCENT));
      }
    }
  }

  private interferenceOf(
    latencyCriticalImage: string,
    run: BestEffortRun,
    capacity: number,
  ): number {
    const interference = this.interference.interferenceOf(
      latencyCriticalImage,
      imageOf(run),
    );
    return (interference * run.milliprocessors) / capacity;
  }

  private bestEffortRuns(view: WorkerView): BestEffortRun[] {
    const runs: BestEffortRun[] = [];
    for (const [name, placed] of view.placed) {
      const run = view.running.get(name);
      if (!run || !placed.reference.step.fills) continue;
      runs.push({
        name,
        placed,
        milliprocessors: run.measure,
        percent: view.paces.get(name) ?? percentOf(placed, run.measure),
      });
    }
    return runs.sort((left, right) => this.compare(left.placed, right.placed));
  }
}

/** Sets and returns the new paces that differ enough from those before. */
function changesOf(
  view: WorkerView,
  runs: readonly BestEffortRun[],
  before: ReadonlyMap<string, number>,
): PaceDecision[] {
  const decisions: PaceDecision[] = [];
  for (const {name, placed, percent} of runs) {
    const isPaused = percent < MINIMUM_PERCENT && percent < before.get(name)!;
    const rounded = isPaused ? 0 : Math.round(percent);
    const change = Math.abs(rounded - before.get(name)!);
    const isLimit = rounded === FULL_PERCENT || rounded === 0;
    const reachesLimit = isLimit && change > 0;
    if (change < MINIMUM_CHANGE_PERCENT && !reachesLimit) continue;
    view.paces.set(name, rounded);
    decisions.push({placed, percent: rounded});
  }
  return decisions;
}

function samplesOf(
  view: WorkerView,
  runs: readonly BestEffortRun[],
): Map<string, TailSample> {
  const {room: capacity} = view.traits;
  const bestEffortShares = new Map<string, number>();
  for (const run of runs) {
    const share = run.milliprocessors / capacity.milliprocessors;
    const image = imageOf(run);
    bestEffortShares.set(image, (bestEffortShares.get(image) ?? 0) + share);
  }
  const samples = new Map<string, TailSample>();
  for (const [name, {reference}] of view.placed) {
    const {tailTargetMillis, image} = reference.step;
    const run = view.running.get(name);
    if (!run || tailTargetMillis === 0 || run.percent < STARTED_PERCENT)
      continue;
    const ratio = run.measure / tailTargetMillis;
    samples.set(name, {image, ratio, bestEffortShares});
  }
  return samples;
}

/** Returns a key to detect run lists that repeat the last measurement. */
function measurementOf(view: WorkerView): string {
  const values: string[] = [];
  for (const [name, {measure}] of view.running) {
    values.push(`${name}=${measure}`);
  }
  return values.join(' ');
}

function scale(run: BestEffortRun, share: number): void {
  run.percent *= share;
  run.milliprocessors *= share;
}

function imageOf(run: BestEffortRun): string {
  return run.placed.reference.step.image;
}

/** Returns the pace of a run that a previous owner may have slowed. */
function percentOf({reference}: PlacedRun, measure: number): number {
  const {milliprocessors} = reference.step.size;
  const share = measure / Math.max(1, milliprocessors);
  return share < SLOWED_SHARE ? FULL_PERCENT * share : FULL_PERCENT;
}

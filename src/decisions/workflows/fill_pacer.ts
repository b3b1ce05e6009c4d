import {LEAST_PRESSURE} from './fill_interference.js';
import type {FillInterference, Tail, TailSample} from './fill_interference.js';
import type {PlacedRun} from './workflow.js';
import type {WorkerView} from './worker_view.js';

/** Share of its target at which a tail calls for less of what fills. */
const HIGH_SHARE = 0.92;
/** What pacing aims at, and up to what it lets filling runs work more. */
const AIM_SHARE = 0.8;
/** A tail this far over its target is acted on at once. */
const ALARMING_SHARE = 1.2;
/** A measurement covers half a second; pacing takes a tenth to have effect. */
const SETTLING_MILLIS = 650;
const FULL_PERCENT = 100;
const RAISE_PERCENT = 35;
/**
 * A tail over its target that the fills known to press don't explain for this
 * long may come from those of which little is known, and a second later from
 * any of them; then this share is kept. The tail may be over its target for 4
 * s.
 */
const UNEXPLAINED_MILLIS = 1_200;
const LONG_UNEXPLAINED_MILLIS = 2_200;
const UNEXPLAINED_SHARE = 0.4;
/** A run at less than this stands still. */
const LEAST_PERCENT = 10;
/** A run that uses less than this share of its processors was slowed before. */
const SLOWED_SHARE = 0.6;
/** Samples closer together are of the same half second. */
const LEAST_SAMPLE_MILLIS = 400;
/** A serving run with all of its start-up behind it. */
const AT_WORK_PERCENT = 100;
/** Changes smaller than this are not worth a call. */
const LEAST_CHANGE_PERCENT = 5;

/** A decision: let the run work at this share from now on. */
export interface PaceDecision {
  readonly placed: PlacedRun;
  readonly percent: number;
}

/** A run with its part in the tails of the worker. */
interface FillingRun {
  readonly name: string;
  readonly placed: PlacedRun;
  /** Processors at the present pace. */
  milliprocessors: number;
  percent: number;
}

/** What is remembered of one worker from measurement to measurement. */
interface PacedWorker {
  /** When a pace was changed last. */
  changedAt: number;
  measured: string;
  measuredAt: number;
  /** Since when a tail is over its target without an explanation. */
  unexplainedSince: number;
  /** The last samples of the serving runs that were at work, by run. */
  samples: ReadonlyMap<string, TailSample>;
}

/**
 * Paces filling runs so that serving runs beside them keep their tail targets.
 *
 * Load pattern: tails swing with the load of what serves and jump when a heavy
 * image begins beside it. Of the runs that press on the tail at risk those that
 * matter least are slowed first, for one that runs at full speed ends soon,
 * and many that crawl never do.
 */
export class FillPacer {
  private readonly workers = new Map<string, PacedWorker>();

  constructor(
    private readonly interference: FillInterference,
    /** Negative if the left run is to be slowed after the right one. */
    private readonly compare: (left: PlacedRun, right: PlacedRun) => number,
  ) {}

  /** To be called with each listing; decides once a measurement. */
  decide(view: WorkerView, now: number): PaceDecision[] {
    const worker = this.workerOf(view.key);
    const measured = measurementOf(view);
    if (measured === worker.measured) return [];
    worker.measured = measured;
    const serving = view.tails;
    const fills = this.fillingRuns(view);
    this.learn(view, worker, fills, now);
    if (fills.length === 0) return [];
    const worst = Math.max(0, ...serving.map(({ratio}) => ratio));
    const age = now - worker.changedAt;
    if (age < SETTLING_MILLIS && worst < ALARMING_SHARE) return [];
    const before = new Map(fills.map(fill => [fill.name, fill.percent]));
    const room = view.traits.room.milliprocessors;
    if (worst <= 1) worker.unexplainedSince = Infinity;
    if (worst < HIGH_SHARE) this.raise(serving, fills, room);
    else if (!this.lower(serving, fills, room)) {
      worker.unexplainedSince = Math.min(worker.unexplainedSince, now);
      const unexplained = now - worker.unexplainedSince;
      if (unexplained >= UNEXPLAINED_MILLIS) {
        this.slowSuspects(serving, fills, unexplained);
      }
    }
    const decisions = changesOf(view, fills, before);
    if (decisions.length > 0) worker.changedAt = now;
    return decisions;
  }

  /** The worker is gone. */
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
    fills: readonly FillingRun[],
    now: number,
  ): void {
    const elapsed = now - worker.measuredAt;
    const samples = samplesOf(view, fills);
    if (elapsed < LEAST_SAMPLE_MILLIS) return;
    for (const [name, sample] of samples) {
      const before = worker.samples.get(name);
      if (before) this.interference.observe(before, sample, elapsed);
    }
    worker.samples = samples;
    worker.measuredAt = now;
  }

  /**
   * Slows the fills that press on tails at risk. False if one is over its
   * target and they don't explain it.
   */
  private lower(
    serving: readonly Tail[],
    fills: readonly FillingRun[],
    room: number,
  ): boolean {
    let isExplained = true;
    for (const {image, ratio} of serving) {
      if (ratio < HIGH_SHARE) continue;
      let excess = Math.log(ratio / AIM_SHARE);
      const pressing = [...fills]
        .reverse()
        .map(fill => ({fill, pressure: this.pressureOf(image, fill, room)}))
        .filter(({pressure}) => pressure >= LEAST_PRESSURE);
      const explained = pressing.reduce((sum, each) => sum + each.pressure, 0);
      if (ratio > 1 && explained < excess / 2) isExplained = false;
      for (const {fill, pressure} of pressing) {
        if (excess <= 0) break;
        const taken = Math.min(pressure, excess);
        scale(fill, 1 - taken / pressure);
        excess -= taken;
      }
    }
    return isExplained;
  }

  /** Slows what may press on a tail that nothing known explains. */
  private slowSuspects(
    serving: readonly Tail[],
    fills: readonly FillingRun[],
    unexplainedMillis: number,
  ): void {
    const tails = serving.filter(({ratio}) => ratio >= HIGH_SHARE);
    for (const fill of fills) {
      const isKnown = tails.every(({image}) =>
        this.interference.isCertain(image, imageOf(fill)),
      );
      if (isKnown && unexplainedMillis < LONG_UNEXPLAINED_MILLIS) continue;
      scale(fill, UNEXPLAINED_SHARE);
    }
  }

  private raise(
    serving: readonly Tail[],
    fills: readonly FillingRun[],
    room: number,
  ): void {
    const ratios = serving.map(({ratio}) => ratio);
    const slowed = fills.filter(({percent}) => percent < FULL_PERCENT);
    for (const fill of slowed) {
      const share = fill.placed.reference.step.size.milliprocessors / room;
      const pressures = serving.map(
        ({image}) => this.interference.pressure(image, imageOf(fill)) * share,
      );
      const isLight = pressures.every(pressure => pressure < LEAST_PRESSURE);
      const most = isLight ? FULL_PERCENT : RAISE_PERCENT;
      let step = Math.min(most, FULL_PERCENT - fill.percent);
      for (const [index, pressure] of pressures.entries()) {
        if (pressure < LEAST_PRESSURE) continue;
        const left = Math.max(0, Math.log(AIM_SHARE / ratios[index]));
        step = Math.min(step, (FULL_PERCENT * left) / pressure);
      }
      fill.percent += step;
      for (const [index, pressure] of pressures.entries()) {
        ratios[index] *= Math.exp(pressure * (step / FULL_PERCENT));
      }
    }
  }

  private pressureOf(serving: string, fill: FillingRun, room: number): number {
    const pressure = this.interference.pressure(serving, imageOf(fill));
    return (pressure * fill.milliprocessors) / room;
  }

  private fillingRuns(view: WorkerView): FillingRun[] {
    const fills: FillingRun[] = [];
    for (const [name, placed] of view.placed) {
      const run = view.running.get(name);
      if (!run || !placed.reference.step.fills) continue;
      fills.push({
        name,
        placed,
        milliprocessors: run.measure,
        percent: view.paces.get(name) ?? percentOf(placed, run.measure),
      });
    }
    return fills.sort((left, right) => this.compare(left.placed, right.placed));
  }
}

/** Sets the new paces, where they differ enough from those before. */
function changesOf(
  view: WorkerView,
  fills: readonly FillingRun[],
  before: ReadonlyMap<string, number>,
): PaceDecision[] {
  const decisions: PaceDecision[] = [];
  for (const {name, placed, percent} of fills) {
    const isStill = percent < LEAST_PERCENT && percent < before.get(name)!;
    const rounded = isStill ? 0 : Math.round(percent);
    const change = Math.abs(rounded - before.get(name)!);
    const isLast = rounded === FULL_PERCENT || rounded === 0;
    const isEdge = isLast && change > 0;
    if (change < LEAST_CHANGE_PERCENT && !isEdge) continue;
    view.paces.set(name, rounded);
    decisions.push({placed, percent: rounded});
  }
  return decisions;
}

function samplesOf(
  view: WorkerView,
  fills: readonly FillingRun[],
): Map<string, TailSample> {
  const {room} = view.traits;
  const fillShares = new Map<string, number>();
  for (const fill of fills) {
    const share = fill.milliprocessors / room.milliprocessors;
    const image = imageOf(fill);
    fillShares.set(image, (fillShares.get(image) ?? 0) + share);
  }
  const samples = new Map<string, TailSample>();
  for (const [name, {reference}] of view.placed) {
    const {tailTargetMillis, image} = reference.step;
    const run = view.running.get(name);
    if (!run || tailTargetMillis === 0 || run.percent < AT_WORK_PERCENT)
      continue;
    const ratio = run.measure / tailTargetMillis;
    samples.set(name, {image, ratio, fillShares});
  }
  return samples;
}

/** Listings come more often than measurements: equal ones are one. */
function measurementOf(view: WorkerView): string {
  const values: string[] = [];
  for (const [name, {measure}] of view.running) {
    values.push(`${name}=${measure}`);
  }
  return values.join(' ');
}

function scale(fill: FillingRun, share: number): void {
  fill.percent *= share;
  fill.milliprocessors *= share;
}

function imageOf(fill: FillingRun): string {
  return fill.placed.reference.step.image;
}

/** The pace of a run that an owner before this one may have slowed. */
function percentOf({reference}: PlacedRun, measure: number): number {
  const {milliprocessors} = reference.step.size;
  const share = measure / Math.max(1, milliprocessors);
  return share < SLOWED_SHARE ? FULL_PERCENT * share : FULL_PERCENT;
}

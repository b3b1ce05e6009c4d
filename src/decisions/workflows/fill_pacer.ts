import type {FillInterference} from './fill_interference.js';
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
/** Share of all fills that is kept when none of them explains a tail. */
const UNEXPLAINED_SHARE = 0.5;
/** A run at less than this stands still. */
const LEAST_PERCENT = 10;
/** A run that uses less than this share of its processors was slowed before. */
const SLOWED_SHARE = 0.6;
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

/** A serving run and its tail over its target. */
interface ServingRun {
  readonly image: string;
  readonly ratio: number;
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
  private readonly changedAt = new Map<string, number>();
  private readonly lastMeasured = new Map<string, string>();

  constructor(
    private readonly interference: FillInterference,
    /** Negative if the left run is to be slowed after the right one. */
    private readonly compare: (left: PlacedRun, right: PlacedRun) => number,
  ) {}

  /** To be called with each listing; decides once a measurement. */
  decide(view: WorkerView, now: number): PaceDecision[] {
    const serving = view.tails;
    const fills = this.fillingRuns(view);
    const measured = measurementOf(view);
    if (measured === this.lastMeasured.get(view.key)) return [];
    this.lastMeasured.set(view.key, measured);
    for (const {image, ratio} of serving) {
      this.interference.observe(image, ratio, fills.map(toLoad));
    }
    if (fills.length === 0) return [];
    const worst = Math.max(0, ...serving.map(({ratio}) => ratio));
    const age = now - (this.changedAt.get(view.key) ?? -Infinity);
    if (age < SETTLING_MILLIS && worst < ALARMING_SHARE) return [];
    const before = new Map(fills.map(fill => [fill.name, fill.percent]));
    if (worst >= HIGH_SHARE) this.lower(serving, fills);
    else this.raise(serving, fills);
    return this.changes(view, fills, before, now);
  }

  private lower(
    serving: readonly ServingRun[],
    fills: readonly FillingRun[],
  ): void {
    for (const {image, ratio} of serving) {
      if (ratio < HIGH_SHARE) continue;
      let excess = ratio - AIM_SHARE;
      const pressing = [...fills]
        .reverse()
        .map(fill => ({fill, pressure: this.pressureOf(image, fill)}));
      const explained = pressing.reduce((sum, each) => sum + each.pressure, 0);
      if (explained < excess / 2) {
        for (const {fill} of pressing) scale(fill, UNEXPLAINED_SHARE);
        continue;
      }
      for (const {fill, pressure} of pressing) {
        if (excess <= 0 || pressure <= 0) continue;
        const taken = Math.min(pressure, excess);
        scale(fill, 1 - taken / pressure);
        excess -= taken;
      }
    }
  }

  private raise(
    serving: readonly ServingRun[],
    fills: readonly FillingRun[],
  ): void {
    const ratios = serving.map(({ratio}) => ratio);
    const slowed = fills.filter(({percent}) => percent < FULL_PERCENT);
    for (const fill of slowed) {
      const {milliprocessors: size} = fill.placed.reference.step.size;
      let step = Math.min(RAISE_PERCENT, FULL_PERCENT - fill.percent);
      for (const [index, {image}] of serving.entries()) {
        const pressure =
          this.interference.pressure(image, imageOf(fill)) * (size / 1_000);
        const room = AIM_SHARE - ratios[index];
        if (pressure <= 0) continue;
        step = Math.min(step, (FULL_PERCENT * Math.max(0, room)) / pressure);
      }
      fill.percent += step;
      for (const [index, {image}] of serving.entries()) {
        const pressure = this.interference.pressure(image, imageOf(fill));
        const added = (size / 1_000) * (step / FULL_PERCENT);
        ratios[index] += pressure * added;
      }
    }
  }

  private pressureOf(serving: string, fill: FillingRun): number {
    const pressure = this.interference.pressure(serving, imageOf(fill));
    return (pressure * fill.milliprocessors) / 1_000;
  }

  private changes(
    view: WorkerView,
    fills: readonly FillingRun[],
    before: ReadonlyMap<string, number>,
    now: number,
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
    if (decisions.length > 0) this.changedAt.set(view.key, now);
    return decisions;
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

function toLoad(fill: FillingRun): {image: string; milliprocessors: number} {
  return {image: imageOf(fill), milliprocessors: fill.milliprocessors};
}

/** The pace of a run that an owner before this one may have slowed. */
function percentOf({reference}: PlacedRun, measure: number): number {
  const {milliprocessors} = reference.step.size;
  const share = measure / Math.max(1, milliprocessors);
  return share < SLOWED_SHARE ? FULL_PERCENT * share : FULL_PERCENT;
}

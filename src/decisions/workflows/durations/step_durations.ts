import type {TaskState} from '../task_state.js';
import {QuantileWindow, quantileOf, sortAscending} from './quantile_window.js';
import type {DurationEstimate} from './duration_source.js';

export const MEDIAN = 0.5;
/** The quantile of `DurationEstimate.highMillis`. */
export const HIGH = 0.9;
/** With three durations, a single outlier can't be the median. */
const MINIMUM_DURATIONS = 3;

/** The durations of the tasks of one step, in milliseconds. */
export class StepDurations {
  private readonly ended = new QuantileWindow();
  /** Projected durations of running tasks. */
  private readonly projected = new Map<TaskState, number>();
  private cached: DurationEstimate | undefined;
  private isCurrent = false;
  private count = 0;

  /** Number of ended runs, including those that the window has dropped. */
  get endedCount(): number {
    return this.count;
  }

  recordEnd(task: TaskState, millis: number): void {
    this.projected.delete(task);
    this.ended.add(millis);
    this.count++;
    this.isCurrent = false;
  }

  recordProjection(task: TaskState, millis: number): void {
    this.projected.set(task, millis);
    this.isCurrent = false;
  }

  removeProjection(task: TaskState): void {
    if (this.projected.delete(task)) this.isCurrent = false;
  }

  /** Undefined if too few durations are known. */
  get estimate(): DurationEstimate | undefined {
    if (!this.isCurrent) this.cached = this.compute();
    this.isCurrent = true;
    return this.cached;
  }

  private compute(): DurationEstimate | undefined {
    if (this.ended.size + this.projected.size < MINIMUM_DURATIONS)
      return undefined;
    const sorted = sortAscending([
      ...this.ended.values,
      ...this.projected.values(),
    ]);
    return {
      medianMillis: quantileOf(sorted, MEDIAN)!,
      highMillis: quantileOf(sorted, HIGH)!,
    };
  }
}

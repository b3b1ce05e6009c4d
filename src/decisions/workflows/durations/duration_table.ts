import type {WorkerRun} from '../../../backends/leased_worker.js';
import type {PlacedRun, TaskReference, Workflow} from '../workflow.js';
import type {StepSpec} from '../workflow_types.js';
import type {WorkerView} from '../worker_view.js';
import type {DurationEstimate, DurationSource} from './duration_source.js';
import type {QuantileWindow} from './quantile_window.js';
import {RatioTable} from './ratio_table.js';
import {HIGH, MEDIAN, StepDurations} from './step_durations.js';

/** Counts in place of an estimate of 0, which callers send if they have none. */
const DEFAULT_ESTIMATE_MILLIS = 1_000;
const MAXIMUM_ESTIMATE_MILLIS = 24 * 60 * 60 * 1_000;
const MINIMUM_ESTIMATE_MILLIS = 1;
/**
 * An estimate that is off by more says nothing about those of other steps. A
 * straggler of seven times an estimate that is off by two is still within it.
 */
const MAXIMUM_SHARED_RATIO = 20;
/** Ratios that a step adds to those of its image and of its queue. */
const SHARED_RATIOS_OF_STEP = 4;
/** Share of the ratios that are on the same side of 1 if estimates are biased. */
const COMMON_SHARE = 0.75;
/** Progress has a granularity of a percent and a delay of a run list. */
const MINIMUM_PROJECTED_PERCENT = 10;
const MINIMUM_PROJECTED_MILLIS = 400;
/** A best-effort run that uses less of its processors is slowed by others. */
const SLOWED_SHARE = 0.6;
/** Workers measure over half a second, so earlier values include the start. */
const MINIMUM_MEASURED_MILLIS = 1_000;
const FULL_PERCENT = 100;

/**
 * Learns durations of tasks: for a step from its own tasks, failing that, from
 * the ratios of actual durations to estimates for its image, and failing that,
 * for its queue.
 *
 * Load pattern: estimates are off by a factor of up to two, in the same
 * direction for all tasks of a step, and a few tasks in a hundred take several
 * times as long as the others. An order by such estimates spends scarce
 * capacity on workflows that end too late. Quantiles ignore the few.
 */
export class DurationTable implements DurationSource {
  private readonly steps = new Map<string, Map<number, StepDurations>>();
  private readonly imageRatios = new RatioTable();
  private readonly queueRatios = new RatioTable();
  /** Runs whose durations do not count. */
  private readonly excluded = new WeakSet<PlacedRun>();

  /** Occurrences of a step share what was learned, as they share its estimate. */
  estimate(
    workflow: Workflow,
    _occurrence: number,
    step: number,
  ): DurationEstimate {
    const own = this.steps.get(workflow.id)?.get(step)?.estimate;
    if (own) return own;
    const {queue, steps} = workflow.spec;
    const millis = usableEstimateMillis(steps[step]);
    const ratios = this.ratiosOf(queue, steps[step]);
    if (!ratios) return {medianMillis: millis, highMillis: millis};
    return {
      medianMillis: limitMillis(millis * correctionOf(ratios)),
      highMillis: limitMillis(millis * ratios.quantile(HIGH)!),
    };
  }

  /** Called with each run list of a worker. */
  observe(view: WorkerView, isSuspect: boolean, now: number): void {
    for (const [name, placed] of view.placed) {
      const run = view.running.get(name);
      const percent = view.paces.get(name) ?? FULL_PERCENT;
      const isPaced = percent < FULL_PERCENT;
      if (isSuspect || isPaced || (run && usesFewProcessors(placed, run, now)))
        this.exclude(placed);
      else if (run) this.recordProgress(placed, run.percent, now);
    }
  }

  /** Called when the duration of a run says nothing about its task. */
  exclude(placed: PlacedRun): void {
    this.excluded.add(placed);
    const {workflow, name, task} = placed.reference;
    this.steps.get(workflow.id)?.get(name.step)?.removeProjection(task);
  }

  /** True if the duration of the run counts once it has ended. */
  counts(placed: PlacedRun): boolean {
    const {reference, placement, startedAt} = placed;
    const {step, workflow} = reference;
    if (startedAt === undefined || this.excluded.has(placed)) return false;
    if (step.lasting || !workflow.isOpen) return false;
    // A later run may have resumed from a checkpoint.
    return !step.checkpoints || placement.run === 1;
  }

  /** Called when a run has succeeded, before this is applied to its workflow. */
  recordEnd(placed: PlacedRun, endedAt: number): void {
    const {reference, startedAt} = placed;
    if (startedAt === undefined || !this.counts(placed)) return;
    const millis = limitMillis(endedAt - startedAt);
    const durations = this.durationsOf(reference);
    durations.recordEnd(reference.task, millis);
    if (isShared(durations.endedCount, reference.step))
      this.shareRatio(reference, millis);
  }

  /** Called when a workflow has ended. */
  forgetWorkflow(id: string): void {
    this.steps.delete(id);
  }

  /** Number of workflows whose tasks have known durations. */
  get workflowCount(): number {
    return this.steps.size;
  }

  /** Returns the median ratio of a queue; undefined if it is not known yet. */
  medianRatio(queue: string): number | undefined {
    return this.queueRatios.find(queue)?.quantile(MEDIAN);
  }

  /** An estimate of 0 can't be corrected by the ratios of other estimates. */
  private ratiosOf(queue: string, step: StepSpec): QuantileWindow | undefined {
    if (!isUsable(step)) return undefined;
    const ofImage =
      step.image === '' ? undefined : this.imageRatios.find(step.image);
    return ofImage ?? this.queueRatios.find(queue);
  }

  private recordProgress(
    placed: PlacedRun,
    percent: number,
    now: number,
  ): void {
    const {startedAt, reference, placement} = placed;
    if (startedAt === undefined || percent < MINIMUM_PROJECTED_PERCENT) return;
    const elapsed = now - startedAt;
    if (elapsed < MINIMUM_PROJECTED_MILLIS || placement.stopping) return;
    if (!this.counts(placed)) return;
    const projected = limitMillis((elapsed * FULL_PERCENT) / percent);
    this.durationsOf(reference).recordProjection(reference.task, projected);
  }

  private shareRatio({workflow, step}: TaskReference, millis: number): void {
    if (!isUsable(step)) return;
    const ratio = millis / usableEstimateMillis(step);
    if (Math.max(ratio, 1 / ratio) > MAXIMUM_SHARED_RATIO) return;
    if (step.image !== '') this.imageRatios.record(step.image, ratio);
    this.queueRatios.record(workflow.spec.queue, ratio);
  }

  private durationsOf({workflow, name}: TaskReference): StepDurations {
    const ofWorkflow =
      this.steps.get(workflow.id) ?? new Map<number, StepDurations>();
    this.steps.set(workflow.id, ofWorkflow);
    const durations = ofWorkflow.get(name.step) ?? new StepDurations();
    ofWorkflow.set(name.step, durations);
    return durations;
  }
}

/**
 * True for a few ends spread evenly over the step: the first ones to end are
 * the shortest, and a step with many tasks must not displace others.
 */
function isShared(endedCount: number, {count}: StepSpec): boolean {
  const interval = Math.ceil(count / SHARED_RATIOS_OF_STEP);
  return endedCount <= count && endedCount % interval === 0;
}

/** True if best-effort work gets too few unused processors for full pace. */
function usesFewProcessors(
  {reference, startedAt}: PlacedRun,
  {measure}: WorkerRun,
  now: number,
): boolean {
  const {fills, size} = reference.step;
  // Workers that do not measure report 0.
  if (!fills || startedAt === undefined || measure === 0) return false;
  if (now - startedAt < MINIMUM_MEASURED_MILLIS) return false;
  return measure < SLOWED_SHARE * size.milliprocessors;
}

/**
 * Returns the median, or 1 if a quarter of the ratios or more are on the other
 * side of 1. Errors that differ in direction say nothing about the next one.
 */
function correctionOf(ratios: QuantileWindow): number {
  const median = ratios.quantile(MEDIAN)!;
  const opposite = ratios.quantile(
    median > 1 ? 1 - COMMON_SHARE : COMMON_SHARE,
  )!;
  return median > 1 === opposite > 1 ? median : 1;
}

/** False for an absent estimate and for one that is capped. */
function isUsable({estimateMillis}: StepSpec): boolean {
  return estimateMillis > 0 && estimateMillis < MAXIMUM_ESTIMATE_MILLIS;
}

function usableEstimateMillis({estimateMillis}: StepSpec): number {
  if (!(estimateMillis > 0)) return DEFAULT_ESTIMATE_MILLIS;
  return limitMillis(estimateMillis);
}

function limitMillis(millis: number): number {
  return Math.min(
    MAXIMUM_ESTIMATE_MILLIS,
    Math.max(MINIMUM_ESTIMATE_MILLIS, millis),
  );
}

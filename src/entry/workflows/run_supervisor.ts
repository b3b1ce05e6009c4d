import {RunOutcome} from '../../backends/leased_worker.js';
import {allowsCopy} from '../../decisions/workflows/copies/copy_policy.js';
import {SlowRuns} from '../../decisions/workflows/copies/slow_runs.js';
import {ImageInterference} from '../../decisions/workflows/image_interference.js';
import type {DurationSource} from '../../decisions/workflows/durations/duration_source.js';
import {SubmittedDurations} from '../../decisions/workflows/durations/submitted_durations.js';
import {BestEffortPacer} from '../../decisions/workflows/best_effort_pacer.js';
import {IdleWorkflows} from '../../decisions/workflows/idle_workflows.js';
import {findRunsToMove} from '../../decisions/workflows/leaving_workers.js';
import {PlaceSearch} from '../../decisions/workflows/place_search.js';
import {
  ProgressMonitor,
  Stall,
} from '../../decisions/workflows/progress_monitor.js';
import type {SchedulingFeatures} from '../../decisions/workflows/scheduling_features.js';
import type {StalledRun} from '../../decisions/workflows/progress_monitor.js';
import {SlowedRunFinder} from '../../decisions/workflows/slowed_run_finder.js';
import {runKey} from '../../decisions/workflows/task_name.js';
import {taskNameOf} from '../../decisions/workflows/workflow.js';
import type {PlacedRun} from '../../decisions/workflows/workflow.js';
import {
  compareRanks,
  WorkflowOrder,
} from '../../decisions/workflows/workflow_order.js';
import type {WorkflowRank} from '../../decisions/workflows/workflow_order.js';
import type {QueueTerms} from '../../decisions/workflows/workflow_types.js';
import type {Workflow} from '../../decisions/workflows/workflow.js';
import type {RunFailure} from '../../decisions/workflows/failure_evidence.js';
import {WorkerHealth} from '../../decisions/workflows/worker_health.js';
import type {WorkerView} from '../../decisions/workflows/worker_view.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Metrics} from '../../observability/metrics.js';
import type {RunEnd} from '../../protocol/generated/burdockmoor.js';
import type {Clock} from '../../utilities/clock.js';
import {DurationLearner} from './duration_learner.js';
import type {RetryHistory} from './retry_history.js';
import type {WorkflowRegistry} from './workflow_registry.js';

/** Pause of a long-running task that fails on any worker. */
const FAULTY_RETRY_MILLIS = 3_000;

/** The supervisor's dependencies on the rest of the owner. */
export interface RunSupervisorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly features: SchedulingFeatures;
  readonly workflowRegistry: WorkflowRegistry;
  readonly retries: RetryHistory;
  readonly termsOf: (workflow: Workflow) => QueueTerms | undefined;
  /** Workers whose agents are attached. */
  readonly attachedWorkers: () => WorkerView[];
  /** Workers on which tasks may be placed. */
  readonly usableWorkers: () => WorkerView[];
  /** Requests the run's worker to stop the run. */
  readonly sendStop: (worker: string, task: string, run: number) => void;
  /** Requests the run's worker to limit the run's processor share. */
  readonly sendPace: (
    worker: string,
    task: string,
    run: number,
    percent: number,
  ) => void;
}

/**
 * Monitors runs: rates workers by the outcomes of their runs, throttles
 * best-effort runs in favor of latency-critical ones, and restarts runs that
 * make no progress.
 */
export class RunSupervisor {
  readonly health = new WorkerHealth();
  readonly interference = new ImageInterference();
  readonly order: WorkflowOrder;
  readonly idle = new IdleWorkflows();
  readonly durations: DurationSource;
  /** Undefined if the feature `learnedDurations` is off. */
  private readonly durationLearner: DurationLearner | undefined;
  private readonly stalledBestEffortRuns = new SlowedRunFinder();
  readonly slowRuns = new SlowRuns();
  private readonly progressMonitor = new ProgressMonitor();
  private readonly pacer = new BestEffortPacer(
    this.interference,
    (left, right) => compareRanks(this.rankOf(left), this.rankOf(right)),
  );

  constructor(private readonly options: RunSupervisorOptions) {
    const {clock, metrics, features} = options;
    const {health} = this;
    if (features.learnedDurations)
      this.durationLearner = new DurationLearner({clock, metrics, health});
    this.durations = this.durationLearner?.table ?? new SubmittedDurations();
    this.order = new WorkflowOrder(this.durations);
  }

  /** Called when a run has ended, even if the end changes no state. */
  handleEnd(view: WorkerView, workflow: string, end: RunEnd): void {
    const name = runKey(end.task, end.run);
    const percent = this.progressMonitor.percentOf(name);
    this.progressMonitor.forget(name);
    this.durationLearner?.handleEnd(view, end);
    const now = this.options.clock.now();
    if (end.outcome === RunOutcome.DONE)
      this.logCooldowns(this.health.recordSuccess(view.key, workflow, now));
    if (end.outcome !== RunOutcome.FAILED) return;
    this.options.retries.recordFailure(end.task, view.key);
    const placed = view.placed.get(name);
    // Runs of an ended workflow tell nothing new about their workers.
    if (!placed?.reference.workflow.isOpen) return;
    const {step} = placed.reference;
    const wasAtFault = this.health.isAtFault(workflow);
    const isInCooldown = this.health.recordFailure(view.key, workflow, now, {
      workedMillis: now - (placed.placedAt ?? now),
      percent: step.lasting ? 0 : percent,
      isUndecided: failedOn => hasUntriedRun(placed, failedOn),
    });
    if (isInCooldown) this.logCooldown(view.key, 'its runs fail');
    this.logFault(workflow, wasAtFault);
    if (step.lasting && this.health.isAtFault(workflow))
      this.options.retries.delay(end.task, FAULTY_RETRY_MILLIS);
  }

  /** Called when a workflow has ended. */
  forgetWorkflow(id: string): void {
    this.progressMonitor.forgetWorkflow(id);
    this.durationLearner?.table.forgetWorkflow(id);
    this.idle.forget(id);
    this.health.forgetWorkflow(id);
    this.options.retries.forgetWorkflow(id);
  }

  /** Called when a worker was removed for good. */
  forgetWorker(key: string): void {
    this.health.forget(key);
    this.pacer.forget(key);
  }

  /** Called when a worker's run list was updated. */
  handleRunList(view: WorkerView): void {
    this.paceBestEffortRuns(view);
    this.durationLearner?.handleRunList(view);
    this.stopStalledRuns(view);
    const now = this.options.clock.now();
    const isAdvancing = (name: string): boolean =>
      this.progressMonitor.isAdvancing(name, now);
    this.logCooldowns(this.health.observe(view, now, isAdvancing));
  }

  /** Moves stalled best-effort runs that have a better place elsewhere. */
  moveStalledBestEffortRuns(): void {
    const now = this.options.clock.now();
    const workers = this.options.usableWorkers();
    const search = new PlaceSearch(workers, this.interference);
    for (const view of workers) {
      for (const {placed, isStalled} of this.stalledBestEffortRuns.find(
        view,
        now,
      )) {
        if (placed.placement.stopping) continue;
        const {step} = placed.reference;
        const hasBetterPlace = isStalled
          ? search.hasPlaceElsewhere(view, step)
          : search.hasInterferenceFreePlaceElsewhere(view, step);
        if (!hasBetterPlace) continue;
        this.stopRun(
          placed,
          'it is throttled in favor of a latency-critical run',
        );
      }
    }
  }

  /** Moves runs away from draining workers. */
  moveFromDrainingWorkers(): void {
    const drainingWorkers = this.options
      .attachedWorkers()
      .filter(({traits}) => traits.draining);
    if (drainingWorkers.length === 0) return;
    const workers = this.options.usableWorkers();
    const search = new PlaceSearch(workers, this.interference);
    for (const view of drainingWorkers) {
      const hasOtherPlace = ({reference}: PlacedRun): boolean =>
        search.hasPlaceElsewhere(view, reference.step);
      for (const placed of findRunsToMove(view, hasOtherPlace)) {
        this.stopRun(placed, 'its worker is draining');
      }
    }
  }

  private paceBestEffortRuns(view: WorkerView): void {
    const {clock, logger, sendPace} = this.options;
    for (const {placed, percent} of this.pacer.decide(view, clock.now())) {
      const task = taskNameOf(placed.reference);
      const {run} = placed.placement;
      sendPace(view.key, task, run, percent);
      const worstTailRatio = Math.max(0, ...view.tails.map(({ratio}) => ratio));
      logger.event(Events.TASK_PACED, {
        task,
        run,
        percent,
        worker: view.key,
        worstTailShare: Math.round(worstTailRatio * 100) / 100,
      });
    }
  }

  /** Stops runs that make no progress, so that they restart elsewhere. */
  private stopStalledRuns(view: WorkerView): void {
    const {clock, retries} = this.options;
    const now = clock.now();
    const observed = this.progressMonitor.observe(view, now);
    for (const {placed} of observed) {
      this.durationLearner?.table.exclude(placed);
    }
    const stalled = observed.filter(each => !this.getsCopy(each, now));
    if (stalled.length === 0 || !this.hasOtherWorker(view, now)) return;
    for (const {placed, stall} of stalled) {
      retries.recordFailure(taskNameOf(placed.reference), view.key);
      this.stopRun(placed, stall);
    }
    const standing = stalled.filter(each => each.stall === Stall.NO_PROGRESS);
    this.recordStandstill(view, standing, now);
  }

  /**
   * Other runs that go on show that the worker is not the reason. A best-effort
   * run stands still because of them: the worker must get no more work.
   */
  private recordStandstill(
    view: WorkerView,
    standing: readonly StalledRun[],
    now: number,
  ): void {
    if (standing.length === 0) return;
    if (standing.some(({placed}) => placed.reference.step.fills)) {
      if (this.health.recordStall(view.key, now))
        this.logCooldown(view.key, 'its best-effort runs make no progress');
      return;
    }
    for (const name of view.placed.keys()) {
      if (this.progressMonitor.isAdvancing(name, now)) return;
    }
    const failures = new Map<string, RunFailure>();
    for (const {placed} of standing) {
      const isUndecided = (failedOn: ReadonlySet<string>): boolean =>
        hasUntriedRun(placed, failedOn);
      failures.set(placed.reference.workflow.id, {isUndecided});
    }
    const faultless = [...failures.keys()].filter(
      workflow => !this.health.isAtFault(workflow),
    );
    if (this.health.recordStall(view.key, now, failures))
      this.logCooldown(view.key, 'its runs make no progress');
    for (const workflow of faultless) this.logFault(workflow, false);
  }

  private hasOtherWorker(view: WorkerView, now: number): boolean {
    return this.options
      .usableWorkers()
      .some(
        other =>
          other !== view &&
          other.traits.service === view.traits.service &&
          this.health.allowanceOf(other, now) > 0,
      );
  }

  private stopRun({reference, placement}: PlacedRun, reason: string): void {
    const task = taskNameOf(reference);
    const {run, worker} = placement;
    const {logger, workflowRegistry: registry, sendStop} = this.options;
    logger.event(Events.RUN_STOPPED, {task, run, worker, reason});
    registry.stopRun(reference, run);
    sendStop(worker, task, run);
  }

  /** True if the run is slow but goes on, as another run is to overtake it. */
  private getsCopy({placed, stall}: StalledRun, now: number): boolean {
    const {features, termsOf} = this.options;
    if (!features.copies || stall !== Stall.SLOW) return false;
    const {reference, placement} = placed;
    const {workflow} = reference;
    const terms = termsOf(workflow) ?? workflow.spec.terms;
    if (!allowsCopy(reference, terms)) return false;
    return this.slowRuns.record(reference, placement, now);
  }

  private rankOf({reference}: PlacedRun): WorkflowRank {
    const {workflow, occurrence} = reference;
    const {clock, termsOf} = this.options;
    const terms = termsOf(workflow) ?? workflow.spec.terms;
    return this.order.rank(workflow, occurrence, terms, clock.wallTime());
  }

  private logCooldown(worker: string, reason: string): void {
    this.options.logger.event(Events.WORKER_RESTED, {worker, reason});
  }

  private logCooldowns(workers: readonly string[]): void {
    for (const worker of workers) {
      this.logCooldown(worker, 'runs that failed here work elsewhere');
    }
  }

  private logFault(workflow: string, wasAtFault: boolean): void {
    if (wasAtFault || !this.health.isAtFault(workflow)) return;
    this.options.logger.event(Events.WORKFLOW_AT_FAULT, {workflow});
  }
}

/**
 * True if a task of the run's workflow that has not failed yet is placed on a
 * worker on which none of its tasks has failed.
 */
function hasUntriedRun(
  {reference}: PlacedRun,
  failedOn: ReadonlySet<string>,
): boolean {
  for (const {task} of reference.workflow.tasks()) {
    if (task.failures > 0) continue;
    if (task.placements.some(({worker}) => !failedOn.has(worker))) return true;
  }
  return false;
}

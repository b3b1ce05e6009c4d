import {RunOutcome} from '../../backends/leased_worker.js';
import type {CopyRound} from '../../decisions/workflows/copies/copy_planner.js';
import type {SlowRuns} from '../../decisions/workflows/copies/slow_runs.js';
import type {DurationSource} from '../../decisions/workflows/durations/duration_source.js';
import type {Placement} from '../../decisions/workflows/task_state.js';
import {taskNameOf} from '../../decisions/workflows/workflow.js';
import type {
  Occurrence,
  PlacedRun,
  RunClosing,
  TaskReference,
  Workflow,
} from '../../decisions/workflows/workflow.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Counter, Metrics} from '../../observability/metrics.js';
import type {Clock} from '../../utilities/clock.js';
import type {WorkerRegistry} from './worker_registry.js';

const MILLIPROCESSORS_PER_CORE = 1_000;

export interface TaskCopiesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly workerRegistry: WorkerRegistry;
  readonly durations: DurationSource;
  readonly slowRuns: SlowRuns;
}

/** A task and one of its runs, as they were before the run was closed. */
export interface EndingRun {
  readonly reference: TaskReference;
  /** Undefined if the run was closed before. */
  readonly placement: Placement | undefined;
  readonly wasDone: boolean;
}

/**
 * Measures the runs of speculative tasks, and reports how their copies fare. It
 * is kept in memory only.
 */
export class TaskCopies {
  /** Time at which the start of a run was ordered, for runs of this owner. */
  private readonly orderedAt = new WeakMap<Placement, number>();
  /** Durations of ended tasks, by step. */
  private readonly endedMillis = new WeakMap<
    Occurrence,
    Map<number, number[]>
  >();
  /** Runs of earlier owners began before this time. */
  private readonly ownedSince: number;
  private readonly startedCopies: Counter;
  private readonly wonCopies: Counter;
  private readonly wastedWork: Counter;

  constructor(private readonly options: TaskCopiesOptions) {
    const {clock, metrics} = options;
    this.ownedSince = clock.now();
    this.startedCopies = metrics.counter(
      'copies_started_total',
      'Second runs of slow tasks that were placed.',
    );
    this.wonCopies = metrics.counter(
      'copies_won_total',
      'Second runs of slow tasks that were done before the first run.',
    );
    this.wastedWork = metrics.counter(
      'copies_wasted_core_milliseconds_total',
      'Work of runs of tasks of which another run was done first.',
    );
  }

  /** Returns the input of a round of placement. */
  round(): CopyRound {
    const {durations, slowRuns, workerRegistry} = this.options;
    return {
      durations: {
        expected: durations,
        isSlow: placement => slowRuns.has(placement),
        ageMillis: placement => this.ageMillis(placement),
        endedMillis: (occurrence, step) =>
          this.endedMillis.get(occurrence)?.get(step) ?? [],
      },
      rackOf: worker => workerRegistry.get(worker)?.traits.rack,
    };
  }

  /** Called when a run was placed, and again when its start was ordered. */
  recordStart({placement}: PlacedRun): void {
    this.orderedAt.set(placement, this.options.clock.now());
  }

  /** Called when a run was placed; logs it if another run is placed. */
  recordPlacement(placed: PlacedRun): void {
    this.recordStart(placed);
    const {reference, placement} = placed;
    const first = otherPlacements(reference, placement.run)[0];
    if (!first) return;
    this.startedCopies.increment();
    this.options.logger.event(Events.COPY_STARTED, {
      task: taskNameOf(reference),
      run: placement.run,
      worker: placement.worker,
      copyOf: first.run,
      ageMillis: Math.round(this.ageMillis(first)),
    });
  }

  /** Called before a run is closed; the result is for `handleEnd`. */
  prepareEnd(
    workflow: Workflow | undefined,
    {name, run}: RunClosing,
  ): EndingRun | undefined {
    const reference = workflow?.find(name);
    if (!reference?.step.speculative) return undefined;
    const {task} = reference;
    return {
      reference,
      placement: task.placementOf(run),
      wasDone: task.done,
    };
  }

  /** Called when the end of a run was applied. */
  handleEnd(ending: EndingRun, {run, outcome}: RunClosing): void {
    const {reference, placement, wasDone} = ending;
    if (wasDone) this.recordLoss(reference, placement);
    if (wasDone || !reference.task.done || outcome !== RunOutcome.DONE) return;
    if (placement) this.recordDuration(reference, placement);
    const [other] = otherPlacements(reference, run);
    if (other) this.logWinner(reference, run, other);
  }

  /** Called when a run ended that was not needed or can't succeed any more. */
  recordLoss(reference: TaskReference, placement?: Placement): void {
    const {step, task} = reference;
    if (!placement || !task.done || !step.speculative) return;
    const cores = step.size.milliprocessors / MILLIPROCESSORS_PER_CORE;
    this.wastedWork.increment(Math.round(this.ageMillis(placement) * cores));
  }

  private logWinner(
    reference: TaskReference,
    winner: number,
    loser: Placement,
  ): void {
    const isWon = winner > loser.run;
    if (isWon) this.wonCopies.increment();
    const type = isWon ? Events.COPY_WON : Events.COPY_LOST;
    this.options.logger.event(type, {
      task: taskNameOf(reference),
      run: winner,
      stopped: loser.run,
      worker: loser.worker,
    });
  }

  private recordDuration(
    {occurrence, name}: TaskReference,
    placement: Placement,
  ): void {
    // When a run of an earlier owner began is unknown.
    if (!this.orderedAt.has(placement)) return;
    const bySteps =
      this.endedMillis.get(occurrence) ?? new Map<number, number[]>();
    this.endedMillis.set(occurrence, bySteps);
    const ofStep = bySteps.get(name.step) ?? [];
    ofStep.push(this.ageMillis(placement));
    bySteps.set(name.step, ofStep);
  }

  private ageMillis(placement: Placement): number {
    const since = this.orderedAt.get(placement) ?? this.ownedSince;
    return this.options.clock.now() - since;
  }
}

function otherPlacements({task}: TaskReference, run: number): Placement[] {
  return task.placements.filter(placement => placement.run !== run);
}

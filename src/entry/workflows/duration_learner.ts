import {RunOutcome} from '../../backends/leased_worker.js';
import {DurationTable} from '../../decisions/workflows/durations/duration_table.js';
import {runKey} from '../../decisions/workflows/task_name.js';
import type {PlacedRun} from '../../decisions/workflows/workflow.js';
import type {WorkerHealth} from '../../decisions/workflows/worker_health.js';
import type {WorkerView} from '../../decisions/workflows/worker_view.js';
import type {Metrics} from '../../observability/metrics.js';
import type {RunEnd} from '../../protocol/generated/burdockmoor.js';
import type {Clock} from '../../utilities/clock.js';

export interface DurationLearnerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly health: WorkerHealth;
}

/** Feeds a table of durations from run lists and ends of runs. */
export class DurationLearner {
  readonly table = new DurationTable();

  constructor(private readonly options: DurationLearnerOptions) {}

  /** Called with each run list, after the paces of its runs were decided. */
  handleRunList(view: WorkerView): void {
    const now = this.options.clock.now();
    this.table.observe(view, this.isSuspect(view), now);
  }

  /** Called before the end changes the health of the worker. */
  handleEnd(view: WorkerView, end: RunEnd): void {
    if (end.outcome !== RunOutcome.DONE) return;
    const placed = view.placed.get(runKey(end.task, end.run));
    if (!placed) return;
    if (this.isSuspect(view)) this.table.exclude(placed);
    const counts = this.table.counts(placed);
    this.table.recordEnd(placed, this.options.clock.now());
    this.recordMetrics(placed, counts);
  }

  private isSuspect(view: WorkerView): boolean {
    return this.options.health.suspicion(view.key) > 0;
  }

  private recordMetrics({reference}: PlacedRun, counts: boolean): void {
    const {metrics} = this.options;
    const {queue} = reference.workflow.spec;
    const outcome = counts ? 'learned' : 'ignored';
    metrics
      .counter(
        'durations_total',
        'Successful runs by whether their duration was learned.',
        {outcome},
      )
      .increment();
    const ratio = this.table.medianRatio(queue);
    if (ratio === undefined) return;
    metrics
      .gauge(
        'duration_ratio',
        'Median ratio of actual durations to estimates, of the latest runs.',
        {queue},
      )
      .set(ratio);
  }
}

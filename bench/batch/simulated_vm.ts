import {ResultCodes} from '../../src/observability/result_codes.js';
import {AttemptOutcome, attemptKey} from '../../src/decisions/job_types.js';
import type {
  AttemptName,
  AttemptReport,
} from '../../src/decisions/job_types.js';
import type {
  StartOrder,
  StartOutcome,
} from '../../src/decisions/jobs/scheduler_types.js';
import type {VmView} from '../../src/decisions/placement/vm_table.js';
import type {Clock, Timer} from '../../src/utilities/clock.js';
import {
  addResources,
  fitsInto,
  subtractResources,
} from '../../src/utilities/resources.js';
import type {Resources} from '../../src/utilities/resources.js';
import type {BatchMetrics} from './batch_metrics.js';
import type {TracedJob} from './batch_trace.js';
import {MEMORY_GROWTH_SHARE, taskOf, usedBy, workOf} from './running_task.js';
import type {RunningTask} from './running_task.js';
import {LaggedSamples} from './lagged_samples.js';
import type {SimulatedVmOptions} from './simulated_vm_options.js';
import {VmLoad} from './vm_load.js';

const TARGET_TAIL_MILLIS = 40;
const BLACK_HOLE_MILLIS = 100;
const CHECKPOINT_MILLIS = 300;
export const TASK_LEASE_MILLIS = 15_000;

/** Who sends a start. */
export interface ShardOwnership {
  readonly shard: number;
  readonly epoch: number;
}

/** A VM, its worker and its agent: it runs what it admits, at the speed left. */
export class SimulatedVm {
  incarnation = 1;
  alive = true;
  out = false;
  blackHole = false;
  /** Reports by shard that no log holds yet. */
  readonly unrecorded = new Map<
    string,
    {shard: number; report: AttemptReport}
  >();
  /** Milliprocessor milliseconds done by tasks so far. */
  doneWork = 0;
  private readonly running = new Map<string, RunningTask>();
  /** The newest epoch of each shard, and until when its tasks are leased. */
  private readonly epochs = new Map<number, number>();
  private readonly leasedUntil = new Map<number, number>();
  private readonly load: VmLoad;
  private advancedAt = 0;
  private timer: Timer | undefined;
  private readonly samples = new LaggedSamples();
  private committed: Resources;

  constructor(
    readonly options: SimulatedVmOptions,
    private readonly clock: Clock,
    private readonly metrics: BatchMetrics,
  ) {
    this.committed = options.serviceSize;
    this.load = new VmLoad(options, this.running);
  }

  /** The owner answered a heartbeat. */
  renewLeases(shard: number, epoch: number): void {
    if (epoch < (this.epochs.get(shard) ?? 0)) return;
    this.epochs.set(shard, epoch);
    this.leasedUntil.set(shard, this.clock.now() + TASK_LEASE_MILLIS);
  }

  start(
    {shard, epoch}: ShardOwnership,
    order: StartOrder,
    job: TracedJob,
  ): StartOutcome {
    const {name} = order;
    if (epoch < (this.epochs.get(shard) ?? 0)) {
      return refusal(name, ResultCodes.OLD_EPOCH.number);
    }
    const key = attemptKey(name);
    if (this.running.has(key) || this.unrecorded.has(key)) {
      return {name, accepted: true, resultCode: 0, reason: ''};
    }
    const taken = addResources(this.committed, order.size);
    if (this.out) return refusal(name, ResultCodes.FAILURE_DOMAIN_OUT.number);
    if (!fitsInto(taken, this.options.capacity)) {
      return refusal(name, ResultCodes.NO_CAPACITY.number);
    }
    this.advance();
    this.committed = taken;
    const resumed = Number(order.checkpoint || 0);
    const task: RunningTask = {
      key,
      shard,
      order,
      job,
      totalMillis: job.runMillis[name.task],
      resumedMillis: resumed,
      doneMillis: resumed,
      stopping: false,
    };
    this.running.set(key, task);
    this.metrics.startedAttempts++;
    this.metrics.taskBegins(taskOf(task));
    if (this.blackHole) this.failSoon(task);
    this.reschedule();
    return {name, accepted: true, resultCode: 0, reason: ''};
  }

  stop(name: AttemptName, checkpoint: boolean): void {
    const task = this.running.get(attemptKey(name));
    if (!task || task.stopping) return;
    task.stopping = true;
    const outcome = checkpoint
      ? AttemptOutcome.EVICTED
      : AttemptOutcome.CANCELLED;
    this.clock.schedule(CHECKPOINT_MILLIS, () => this.end(task, outcome));
  }

  runs(name: AttemptName): boolean {
    return this.running.has(attemptKey(name));
  }

  /** The log holds the report. */
  forget(name: AttemptName): void {
    this.unrecorded.delete(attemptKey(name));
  }

  /** The VM fails with all that ran on it. */
  crash(): void {
    this.advance();
    this.alive = false;
    this.timer?.cancel();
    for (const task of this.running.values()) {
      this.metrics.wastedWork += workOf(task);
      this.metrics.lostAttempts++;
      this.metrics.taskEnds(taskOf(task));
    }
    this.running.clear();
    this.unrecorded.clear();
    this.committed = this.options.serviceSize;
    this.incarnation++;
  }

  revive(): void {
    this.alive = true;
    this.advancedAt = this.clock.now();
  }

  /** Samples usage and tail, which reports show later. */
  sample(): void {
    this.advance();
    this.stopUnleased();
    this.samples.add({
      used: this.load.used(),
      tailMillis: this.load.tailMillis(),
    });
    if (!this.alive) return;
    this.metrics.serviceSeconds++;
    this.metrics.serviceTails.push(this.load.tailMillis());
    if (this.load.tailMillis() > TARGET_TAIL_MILLIS) {
      this.metrics.lateServiceSeconds++;
    }
  }

  /** The worker checkpoints and stops what nobody leases any longer. */
  private stopUnleased(): void {
    const now = this.clock.now();
    for (const {order, shard} of this.running.values()) {
      const leasedUntil = this.leasedUntil.get(shard) ?? Infinity;
      if (now >= leasedUntil) this.stop(order.name, true);
    }
  }

  view(): VmView {
    const {vm, failureDomain, rack, capacity, service} = this.options;
    const {used, tailMillis} = this.samples.reported;
    return {
      vm,
      incarnation: String(this.incarnation),
      failureDomain,
      region: 'region',
      rack,
      capacity,
      committed: this.committed,
      used,
      draining: false,
      stopping: false,
      recovering: false,
      runningAttempts: this.running.size,
      services: [{service, tailMillis, targetMillis: TARGET_TAIL_MILLIS}],
      interference: this.load.interference(),
    };
  }

  private advance(): void {
    const now = this.clock.now();
    const progress = (now - this.advancedAt) / this.load.overload();
    this.advancedAt = now;
    if (!this.alive || progress <= 0) return;
    for (const task of this.running.values()) {
      const {milliprocessors} = task.job.truth.used;
      const step = Math.min(progress, task.totalMillis - task.doneMillis);
      task.doneMillis += step;
      this.doneWork += step * milliprocessors;
    }
  }

  private reschedule(): void {
    this.timer?.cancel();
    let least = Infinity;
    for (const task of this.running.values()) {
      const grown = task.totalMillis * MEMORY_GROWTH_SHARE;
      const next = task.doneMillis < grown ? grown : task.totalMillis;
      least = Math.min(least, next - task.doneMillis);
    }
    if (least === Infinity) return;
    const delay = Math.max(1, least * this.load.overload());
    this.timer = this.clock.schedule(delay, () => this.progress());
  }

  private progress(): void {
    this.advance();
    this.killForMemory();
    for (const task of [...this.running.values()]) {
      if (task.totalMillis - task.doneMillis > 0.5) continue;
      this.end(task, AttemptOutcome.FINISHED);
    }
    this.reschedule();
  }

  /** The worker kills what is furthest over its reservation. */
  private killForMemory(): void {
    const {memoryMegabytes} = this.options.capacity;
    while (this.load.used().memoryMegabytes > memoryMegabytes) {
      const worst = this.load.furthestOver();
      if (!worst) return;
      this.end(worst, AttemptOutcome.FAILED);
    }
  }

  private failSoon(task: RunningTask): void {
    this.clock.schedule(BLACK_HOLE_MILLIS, () =>
      this.end(task, AttemptOutcome.FAILED),
    );
  }

  private end(task: RunningTask, outcome: AttemptOutcome): void {
    if (!this.running.has(task.key)) return;
    this.advance();
    this.running.delete(task.key);
    this.metrics.taskEnds(taskOf(task));
    this.committed = subtractResources(this.committed, task.order.size);
    const report = reportOf(task, outcome);
    this.unrecorded.set(task.key, {shard: task.shard, report});
    this.metrics.attemptEnds(task, outcome);
    this.reschedule();
  }
}

function refusal(name: AttemptName, resultCode: number): StartOutcome {
  return {name, accepted: false, resultCode, reason: 'refused'};
}

function reportOf(task: RunningTask, outcome: AttemptOutcome): AttemptReport {
  const evicted = outcome === AttemptOutcome.EVICTED;
  return {
    name: task.order.name,
    outcome,
    checkpoint: evicted ? String(Math.max(0.001, task.doneMillis)) : '',
    result: '',
    reason: '',
    resultCode:
      outcome === AttemptOutcome.FAILED ? ResultCodes.TASK_FAILED.number : 0,
    ranMillis: task.doneMillis - task.resumedMillis,
    used: usedBy(task),
  };
}

import {workOfTask} from '../workflow_timing.js';
import {ExpectedOutcome} from '../workflow_order.js';
import type {WorkflowOrder} from '../workflow_order.js';
import type {Occurrence, Workflow} from '../workflow.js';
import type {QueueTerms} from '../workflow_types.js';
import type {AdmissionOutlook, BestEffortBacklog} from './admission_outlook.js';
import {FinishedWork} from './finished_work.js';

const RATE_WINDOW_MILLIS = 5_000;
/** A walk over all workflows costs as much as a round of placement. */
const OBSERVATION_INTERVAL_MILLIS = 200;
/**
 * Best-effort tasks that wait for less only wait for their placement: the pool
 * is not full, and its rate says how much was asked of it.
 */
const FULL_AFTER_MILLIS = 1_000;
const MILLIPROCESSORS_PER_CORE = 1_000;

/** Input of an observation. */
export interface BestEffortObservation {
  readonly workflows: Iterable<Workflow>;
  readonly order: WorkflowOrder;
  /** Undefined for an unknown queue. */
  readonly termsOf: (workflow: Workflow) => QueueTerms | undefined;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Calendar time in milliseconds. */
  readonly wallNow: number;
}

interface Backlog {
  work: number;
  workWithoutValue: number;
  workflows: number;
}

/** The best-effort tasks that use or wait for the workers of one service. */
class ServiceLoad {
  readonly finished = new FinishedWork(RATE_WINDOW_MILLIS);
  readonly backlogs = new Map<number, Backlog>();
  runningCores = 0;
  waitingSince: number | undefined;
  isWaiting = false;

  clear(): void {
    this.backlogs.clear();
    this.runningCores = 0;
    this.isWaiting = false;
  }

  add(priority: number, work: number, hasValue = true): void {
    const backlog = this.backlogs.get(priority) ?? {
      work: 0,
      workWithoutValue: 0,
      workflows: 0,
    };
    if (hasValue) backlog.work += work;
    else backlog.workWithoutValue += work;
    backlog.workflows++;
    this.backlogs.set(priority, backlog);
  }

  /**
   * Returns the work finished in a millisecond. Until tasks have waited for the
   * whole window, the ends in it may show what was asked of the pool; the work
   * in progress then shows that it can do more. The same holds if the tasks take
   * longer than the window, so that none ended.
   */
  rate(now: number): number {
    const finished = this.finished.total(now) / RATE_WINDOW_MILLIS;
    const waitedMillis = now - (this.waitingSince ?? now);
    if (waitedMillis >= RATE_WINDOW_MILLIS && finished > 0) return finished;
    return Math.max(finished, this.runningCores);
  }

  isFull(now: number): boolean {
    const {waitingSince = now} = this;
    return now - waitingSince >= FULL_AFTER_MILLIS;
  }
}

/**
 * Derives the outlook for new best-effort workflows from the open ones.
 *
 * Load pattern: a pool that is nearly full gets more best-effort work than it
 * finishes. The outlook has the work ahead of a new workflow and the rate at
 * which such work ends, which falls if workers are slow or lost.
 */
export class BestEffortLoad {
  private readonly services = new Map<string, ServiceLoad>();
  private observedAt = -Infinity;

  /** Includes a new workflow until the next observation. */
  add(workflow: Workflow, terms: QueueTerms): void {
    let work = 0;
    for (const step of workflow.spec.steps) {
      if (step.fills)
        work += step.count * workOfTask(step, step.estimateMillis);
    }
    if (work > 0) this.find(terms.service).add(terms.priority, work);
  }

  /** Records a task of the service that is done. */
  recordDone(service: string, work: number, now: number): void {
    this.find(service).finished.record(work, now);
  }

  /** Counts the open work, unless it was counted a moment ago. */
  observe(observation: BestEffortObservation): void {
    const {workflows, now} = observation;
    if (now - this.observedAt < OBSERVATION_INTERVAL_MILLIS) return;
    this.observedAt = now;
    for (const load of this.services.values()) load.clear();
    for (const workflow of workflows) this.count(workflow, observation);
    for (const load of this.services.values()) {
      load.waitingSince = load.isWaiting
        ? (load.waitingSince ?? now)
        : undefined;
    }
  }

  outlook(now: number): AdmissionOutlook {
    const found: BestEffortBacklog[] = [];
    for (const [service, load] of this.services) {
      const rate = load.rate(now);
      // Without a rate the wait is unknown.
      if (!load.isFull(now) || rate === 0) continue;
      for (const [priority, backlog] of load.backlogs) {
        const {workflows} = backlog;
        const work = workAheadOf(backlog);
        found.push({service, priority, work, workflows, rate});
      }
    }
    return {backlogs: found};
  }

  private count(workflow: Workflow, observation: BestEffortObservation): void {
    if (!workflow.isOpen) return;
    if (!workflow.spec.steps.some(step => step.fills)) return;
    const terms = observation.termsOf(workflow);
    if (!terms) return;
    for (const occurrence of workflow.occurrences.values()) {
      this.countOccurrence(workflow, occurrence, terms, observation);
    }
  }

  private countOccurrence(
    workflow: Workflow,
    occurrence: Occurrence,
    terms: QueueTerms,
    {order, wallNow}: BestEffortObservation,
  ): void {
    const load = this.find(terms.service);
    const rank = order.rank(workflow, occurrence, terms, wallNow);
    const hasValue = rank.expectedOutcome !== ExpectedOutcome.NO_VALUE;
    let work = 0;
    for (const [index, step] of workflow.spec.steps.entries()) {
      if (!step.fills) continue;
      let waiting = 0;
      for (const task of occurrence.tasks[index]) {
        if (task.done) continue;
        work += workOfTask(step, step.estimateMillis);
        if (task.placements.length === 0) waiting++;
        else load.runningCores += coresOf(step.size.milliprocessors);
      }
      if (waiting === 0 || !hasValue || load.isWaiting) continue;
      load.isWaiting = workflow.isStepOpen(occurrence, index);
    }
    if (work > 0) load.add(terms.priority, work, hasValue);
  }

  private find(service: string): ServiceLoad {
    const load = this.services.get(service) ?? new ServiceLoad();
    this.services.set(service, load);
    return load;
  }
}

/**
 * Work that has no value any more goes after a new workflow, but what has begun
 * of it takes time from a full pool. It counts up to the other work, so that the
 * backlog of an outage does not by itself refuse new workflows.
 */
function workAheadOf({work, workWithoutValue}: Backlog): number {
  return work + Math.min(work, workWithoutValue);
}

function coresOf(milliprocessors: number): number {
  return milliprocessors / MILLIPROCESSORS_PER_CORE;
}

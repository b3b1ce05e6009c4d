import type {PlacementObstacle} from '../placement_obstacle.js';
import {planPlacements} from '../placement_planner.js';
import type {
  PlacementObserver,
  PlacementRound,
  PlannedRun,
} from '../placement_planner.js';
import type {WaitingStep} from '../waiting_steps.js';
import type {WorkerAssessment} from '../worker_scores.js';
import type {WorkerView} from '../worker_view.js';
import {Workflow} from '../workflow.js';
import type {Occurrence} from '../workflow.js';
import type {QueueTerms, WorkflowSpec} from '../workflow_types.js';
import {WaitKind} from './explanation.js';
import type {
  PlacementExplanation,
  RefusalNote,
  StepExplanation,
  StepWait,
} from './explanation.js';
import {countByObstacle, rankWorkers} from './worker_ranking.js';

/** A worker that rounds of placement leave out. */
export interface UnusableWorker {
  readonly view: WorkerView;
  readonly obstacle: PlacementObstacle;
}

export interface ExplanationInput {
  /** The round as the owner would run it now. */
  readonly round: PlacementRound;
  /** The workflow, which is not among those of the round. */
  readonly spec: WorkflowSpec;
  readonly unusableWorkers: readonly UnusableWorker[];
  /** Absent if the workflow would be accepted, or nothing refuses any. */
  readonly refusal?: RefusalNote;
}

/**
 * Explains where the next round would place the tasks of a workflow that is not
 * stored. It runs that round with the workflow added, and changes nothing.
 *
 * Load pattern: while demand is uneven, work waits on one part of the pool
 * although another part has free capacity, and operators need to see which rule
 * keeps it from there.
 */
export function explainPlacement(
  input: ExplanationInput,
): PlacementExplanation {
  return new PlacementExplainer(input).explain();
}

/** Observes one round for the steps of the explained workflow. */
class PlacementExplainer implements PlacementObserver {
  private readonly workflow: Workflow;
  private readonly occurrence: Occurrence;
  private readonly terms: QueueTerms;
  /** By step, before its first task is placed. */
  private readonly before = new Map<number, readonly WorkerAssessment[]>();
  /** By step, when a task of it found no worker. */
  private readonly unplaced = new Map<number, readonly WorkerAssessment[]>();

  constructor(private readonly input: ExplanationInput) {
    const {round, spec} = input;
    this.workflow = new Workflow(spec);
    [this.occurrence] = this.workflow.occurrences.values();
    this.terms = round.termsOf(this.workflow) ?? spec.terms;
  }

  explain(): PlacementExplanation {
    const {round, spec, unusableWorkers, refusal} = this.input;
    const planned = planPlacements({
      ...round,
      workflows: [...round.workflows, this.workflow],
      order: round.order.including(this.workflow),
      observer: this,
    });
    const {service, priority} = this.terms;
    return {
      queue: spec.queue,
      service,
      priority,
      wallMillis: round.wallNow,
      stateAgeMillis: stateAgeMillis(round),
      usableWorkers: round.workers.length,
      unusableWorkers: unusableWorkers.length,
      steps: [...spec.steps.keys()].map(step =>
        this.explainStep(step, planned),
      ),
      refusal,
    };
  }

  onStep(waiting: WaitingStep, assess: () => WorkerAssessment[]): void {
    if (waiting.workflow !== this.workflow) return;
    this.before.set(waiting.step, assess());
  }

  onUnplaced(waiting: WaitingStep, assess: () => WorkerAssessment[]): void {
    if (waiting.workflow !== this.workflow) return;
    this.unplaced.set(waiting.step, assess());
  }

  /** Assesses workers for the steps that earlier steps hold back. */
  onEnd(assess: (waiting: WaitingStep) => WorkerAssessment[]): void {
    const {workflow, occurrence, terms} = this;
    const {order, wallNow} = this.input.round;
    const rank = order.rank(workflow, occurrence, terms, wallNow);
    for (const step of workflow.spec.steps.keys()) {
      if (this.before.has(step)) continue;
      const waiting = {workflow, occurrence, step, terms, rank, tasks: []};
      this.before.set(step, assess(waiting));
    }
  }

  private explainStep(
    step: number,
    planned: readonly PlannedRun[],
  ): StepExplanation {
    const tasksByWorker = new Map<string, number>();
    let placedTasks = 0;
    for (const {reference, worker} of planned) {
      const {workflow, name} = reference;
      if (workflow !== this.workflow || name.step !== step) continue;
      const tasks = tasksByWorker.get(worker.key) ?? 0;
      tasksByWorker.set(worker.key, tasks + 1);
      placedTasks++;
    }
    const {count} = this.workflow.spec.steps[step];
    const assessments = this.withUnusable(this.before.get(step) ?? []);
    const {now} = this.input.round;
    return {
      step,
      tasks: count,
      placedTasks,
      waitsFor: placedTasks < count ? this.waitOf(step) : undefined,
      ...rankWorkers({assessments, tasksByWorker, now}),
    };
  }

  private waitOf(step: number): StepWait {
    const {after, gang} = this.workflow.spec.steps[step];
    // A step without tasks is done, and holds no other step back.
    const steps = after.filter(
      earlier => this.occurrence.tasks[earlier].length > 0,
    );
    const found = this.unplaced.get(step) ?? this.before.get(step) ?? [];
    const workers = countByObstacle(this.withUnusable(found));
    if (steps.length > 0) return {kind: WaitKind.STEPS, steps, workers};
    const kind = gang ? WaitKind.GANG : WaitKind.WORKERS;
    return {kind, steps, workers};
  }

  private withUnusable(
    assessments: readonly WorkerAssessment[],
  ): WorkerAssessment[] {
    const unusable = this.input.unusableWorkers.map(worker => ({
      ...worker,
      isOnOtherRack: false,
    }));
    return [...assessments, ...unusable];
  }
}

function stateAgeMillis({workers, now}: PlacementRound): number {
  const ages = workers.map(view => now - view.lastMessageAt);
  return Math.round(Math.max(0, ...ages));
}

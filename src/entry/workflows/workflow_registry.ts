import type {
  PlacedRun,
  RunClosing,
  TaskReference,
} from '../../decisions/workflows/workflow.js';
import {Workflow} from '../../decisions/workflows/workflow.js';
import {formatTaskName, runKey} from '../../decisions/workflows/task_name.js';
import type {TaskName} from '../../decisions/workflows/task_name.js';
import {WorkflowState} from '../../decisions/workflows/workflow_types.js';
import type {
  QueueTerms,
  WorkflowSpec,
} from '../../decisions/workflows/workflow_types.js';
import {
  encodeEnded,
  encodeProgress,
} from '../../decisions/workflows/workflow_codec.js';
import type {EndedWorkflow} from '../../decisions/workflows/workflow_codec.js';
import type {WorkerView} from '../../decisions/workflows/worker_view.js';
import type {ChangedRows, CommitLog} from './commit_log.js';
import {
  cancelKey,
  newWorkflowKey,
  progressKey,
  specKey,
} from '../../protocol/store_keys.js';
import type {WorkerRegistry} from './worker_registry.js';

export interface WorkflowRegistryOptions {
  readonly commits: CommitLog;
  readonly workerRegistry: WorkerRegistry;
  readonly termsOf: (workflow: Workflow) => QueueTerms | undefined;
}

/**
 * The workflows of a pool and their durable states. Every change goes through
 * this class, which updates the placements on workers and the next commit.
 */
export class WorkflowRegistry {
  private readonly openWorkflows = new Map<string, Workflow>();
  private readonly endedWorkflows = new Map<string, EndedWorkflow>();
  /** The committed states, as shown to callers. */
  private readonly committedStates = new Map<string, WorkflowState>();
  private readonly inboxKeysById = new Map<string, Set<string>>();
  /** Workflows whose progress may be stored. */
  private readonly withProgress = new Set<string>();
  private effectCount = 0;

  constructor(private readonly options: WorkflowRegistryOptions) {}

  /** Workflows that may still have runs; may be iterated several times. */
  get workflows(): Iterable<Workflow> {
    return {[Symbol.iterator]: () => this.openWorkflows.values()};
  }

  get(id: string): Workflow | undefined {
    return this.openWorkflows.get(id);
  }

  has(id: string): boolean {
    return this.openWorkflows.has(id) || this.endedWorkflows.has(id);
  }

  /** Returns the state shown to callers; undefined for an unknown workflow. */
  stateOf(id: string): WorkflowState | undefined {
    return this.committedStates.get(id);
  }

  countQueued(queue: string): number {
    let count = 0;
    for (const workflow of this.openWorkflows.values()) {
      if (workflow.spec.queue !== queue || workflow.spec.schedule) continue;
      if (workflow.state === WorkflowState.QUEUED) count++;
    }
    return count;
  }

  /** Adds a workflow that was read from the store. */
  restore(workflow: Workflow, inboxKeys: readonly string[]): void {
    this.committedStates.set(workflow.id, workflow.state);
    if (inboxKeys.length > 0)
      this.inboxKeysById.set(workflow.id, new Set(inboxKeys));
    this.openWorkflows.set(workflow.id, workflow);
    this.withProgress.add(workflow.id);
    for (const reference of workflow.tasks()) {
      for (const placement of reference.task.placements) {
        this.options.workerRegistry.addPlacement({
          reference,
          placement,
          isDurable: true,
        });
      }
    }
  }

  /** Adds a workflow of which only the end is stored. */
  restoreEnded(
    id: string,
    ended: EndedWorkflow,
    inboxKeys: readonly string[],
  ): void {
    this.committedStates.set(id, ended.state);
    this.endedWorkflows.set(id, ended);
    if (inboxKeys.length === 0) return;
    this.inboxKeysById.set(id, new Set(inboxKeys));
    this.clearInbox(id);
  }

  /** Adds a workflow that an entry has just accepted. */
  add(spec: WorkflowSpec): Workflow | undefined {
    if (this.has(spec.id)) return undefined;
    const workflow = new Workflow(spec);
    this.openWorkflows.set(spec.id, workflow);
    this.committedStates.set(spec.id, WorkflowState.QUEUED);
    this.addInboxKey(spec.id, newWorkflowKey(spec.id));
    return workflow;
  }

  cancel(id: string, now: number, effect?: () => void): boolean {
    this.addInboxKey(id, cancelKey(id));
    const workflow = this.openWorkflows.get(id);
    if (!workflow) {
      this.clearInbox(id, effect);
      return false;
    }
    const changed = workflow.cancel(now);
    this.commit(workflow, effect);
    return changed;
  }

  /** Places a run; calls the effect once the placement is durable. */
  place(
    reference: TaskReference,
    worker: WorkerView,
    run: number | undefined,
    effect: (placed: PlacedRun) => void,
  ): PlacedRun {
    const {workflow, task} = reference;
    const runNumber = workflow.place(reference, worker.key, run);
    const placement = task.placementOf(runNumber)!;
    const placed: PlacedRun = {reference, placement, isDurable: false};
    this.options.workerRegistry.addPlacement(placed);
    this.commit(workflow, () => {
      placed.isDurable = true;
      effect(placed);
    });
    return placed;
  }

  /** Marks a run as stopping, and commits the mark. */
  stopRun(reference: TaskReference, run: number): void {
    const placement = reference.task.placementOf(run);
    if (!placement || placement.stopping) return;
    placement.stopping = true;
    this.commit(reference.workflow);
  }

  /**
   * Applies the end of a run; true if it changed anything. Calls the effect
   * once the end is durable, even if it was applied before.
   */
  closeRun(closing: RunClosing, now: number, effect: () => void): boolean {
    const workflow = this.openWorkflows.get(closing.name.workflow);
    if (!workflow) {
      this.afterPending(effect);
      return false;
    }
    this.options.workerRegistry.removePlacement(
      runKeyOf(closing.name, closing.run),
    );
    const terms = this.options.termsOf(workflow);
    const failures = terms?.maximumFailures ?? 1;
    const changed = workflow.close(closing, failures, now);
    if (changed) this.commit(workflow, effect);
    else this.afterPending(effect);
    return changed;
  }

  /** Closes a run that has no result and will have none. */
  closeUnfinishedRun(name: TaskName, run: number, checkpoint = ''): boolean {
    const workflow = this.openWorkflows.get(name.workflow);
    if (!workflow) return false;
    this.options.workerRegistry.removePlacement(runKeyOf(name, run));
    const changed = workflow.closeUnfinished(name, run, checkpoint);
    if (changed) this.commit(workflow);
    return changed;
  }

  /** Opens scheduled occurrences that are due by the calendar time. */
  openDueOccurrences(now: number): void {
    for (const workflow of this.openWorkflows.values()) {
      if (workflow.openDue(now)) this.commit(workflow);
    }
  }

  /**
   * Removes workflows that ended before the calendar time, in memory and in the
   * store.
   */
  expire(endedBefore: number): void {
    for (const [id, {endedAtMillis}] of this.endedWorkflows) {
      if (endedAtMillis >= endedBefore) continue;
      this.endedWorkflows.delete(id);
      this.withProgress.delete(id);
      this.options.commits.change(
        id,
        () => ({puts: [], removals: [specKey(id)]}),
        () => this.committedStates.delete(id),
      );
    }
  }

  /** Calls the effect once all changes made so far are durable. */
  private afterPending(effect: () => void): void {
    const {commits} = this.options;
    if (commits.isIdle) return effect();
    // A new subject, so that it is queued behind all pending changes.
    const subject = `effect ${++this.effectCount}`;
    commits.change(subject, () => ({puts: [], removals: []}), effect);
  }

  /** Writes the progress of a workflow with the next commit. */
  private commit(workflow: Workflow, effect?: () => void): void {
    const {id} = workflow;
    let state: WorkflowState = workflow.state;
    const render = (): ChangedRows => {
      state = workflow.state;
      const {removals, onIncluded: forgetKeys} = this.inboxRemovals(id);
      if (workflow.isOpen || workflow.hasPlacements) {
        this.withProgress.add(id);
        const value = encodeProgress(workflow);
        return {
          puts: [{key: progressKey(id), value}],
          removals,
          onIncluded: forgetKeys,
        };
      }
      const ended = {key: specKey(id), value: encodeEnded(workflow)};
      if (this.withProgress.has(id)) removals.push(progressKey(id));
      return {puts: [ended], removals, onIncluded: forgetKeys};
    };
    this.options.commits.change(id, render, () => {
      this.committedStates.set(id, state);
      effect?.();
    });
    if (workflow.isOpen || workflow.hasPlacements) return;
    this.openWorkflows.delete(id);
    this.endedWorkflows.set(id, {
      state: workflow.state,
      endedAtMillis: workflow.endedAtMillis,
    });
  }

  private clearInbox(id: string, effect?: () => void): void {
    this.options.commits.change(
      `inbox ${id}`,
      () => ({puts: [], ...this.inboxRemovals(id)}),
      effect,
    );
  }

  /** The keys are forgotten only once a commit includes their removal. */
  private inboxRemovals(id: string): {
    readonly removals: string[];
    readonly onIncluded: () => void;
  } {
    const removals = [...(this.inboxKeysById.get(id) ?? [])];
    return {removals, onIncluded: () => this.inboxKeysById.delete(id)};
  }

  private addInboxKey(id: string, key: string): void {
    const keys = this.inboxKeysById.get(id);
    if (keys) keys.add(key);
    else this.inboxKeysById.set(id, new Set([key]));
  }
}

function runKeyOf(name: TaskName, run: number): string {
  return runKey(formatTaskName(name), run);
}

import type {WorkerRun} from '../../backends/leased_worker.js';
import type {TransactionalStore} from '../../backends/transactional_store.js';
import type {AdmissionOutlook} from '../../decisions/workflows/admission/admission_outlook.js';
import {
  GapReservations,
  ReservationEnd,
} from '../../decisions/workflows/gaps/gap_reservations.js';
import type {SchedulingFeatures} from '../../decisions/workflows/scheduling_features.js';
import {countObstacles} from '../../decisions/workflows/explaining/obstacle_count.js';
import {explainPlacement} from '../../decisions/workflows/explaining/placement_explainer.js';
import {planPlacements} from '../../decisions/workflows/placement_planner.js';
import type {PlacementRound} from '../../decisions/workflows/placement_planner.js';
import {parseTaskName, runKey} from '../../decisions/workflows/task_name.js';
import {taskNameOf} from '../../decisions/workflows/workflow.js';
import type {
  PlacedRun,
  TaskReference,
  Workflow,
} from '../../decisions/workflows/workflow.js';
import {
  decodeEnded,
  decodeSpec,
  decodeWorkflow,
  isRefusal,
} from '../../decisions/workflows/workflow_codec.js';
import type {
  QueueTerms,
  WorkflowSpec,
  WorkflowState,
} from '../../decisions/workflows/workflow_types.js';
import type {
  WorkerTraits,
  WorkerView,
} from '../../decisions/workflows/worker_view.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Metrics} from '../../observability/metrics.js';
import type {
  RunEnd,
  RunStartResult,
  WorkerCommands,
} from '../../protocol/generated/burdockmoor.js';
import type {
  Attachment,
  AttachmentListener,
} from '../../protocol/pool_links.js';
import type {WorkerUpdate} from '../../protocol/generated/burdockmoor.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock, Timer} from '../../utilities/clock.js';
import {CoalescedAction} from '../../utilities/coalesced_action.js';
import {ShareLimit} from '../../utilities/share_limit.js';
import {AbsentTaskReporter} from './absent_task_reporter.js';
import type {ConfigurationFollower} from './configuration_follower.js';
import type {CommandKind} from './command_queue.js';
import {CommitLog} from './commit_log.js';
import {LearnedInterference} from './learned_interference.js';
import {ExplanationStatus, notExplained} from './explanation_result.js';
import type {ExplanationResult} from './explanation_result.js';
import type {LeaseValidity} from './lease_validity.js';
import type {OwnerRecord} from '../../protocol/owner_record.js';
import {OwnerAdmission} from './owner_admission.js';
import {PoolAttachments} from './pool_attachments.js';
import {RefusalRemoval} from './refusal_removal.js';
import {ReservationReporter} from './reservation_reporter.js';
import {RetryHistory} from './retry_history.js';
import {RunSupervisor} from './run_supervisor.js';
import {lastKeySegment, specKey, StoreKeys} from '../../protocol/store_keys.js';
import {TaskCopies} from './task_copies.js';
import {
  isCausedByWorker,
  isRunOutcome,
  WorkerAttachment,
} from './worker_attachment.js';
import {WorkerAvailability} from './worker_availability.js';
import {agentOf, workerKey, WorkerRegistry} from './worker_registry.js';
import {WorkflowRegistry} from './workflow_registry.js';

const TICK_INTERVAL_MILLIS = 100;
/** Well below the time within which a cancellation must take effect. */
const INBOX_POLL_INTERVAL_MILLIS = 1_000;
const EXPIRY_INTERVAL_MILLIS = 5_000;
const ABSENCE_INTERVAL_MILLIS = 500;
/** A new owner lacks what was learned in this time. */
const LEARNED_SAVE_INTERVAL_MILLIS = 2_000;
/** Well below the retention time; each time reads the keys of all records. */
const REFUSAL_REMOVAL_INTERVAL_MILLIS = 15_000;
/** Ended workflows are kept for this multiple of the promised time. */
const RETENTION_FACTOR = 1.2;
/** Leaves most of the processor time to commits and streams. */
const MAXIMUM_PLANNING_SHARE = 0.3;
/** Explanations must not delay placement noticeably. */
const MAXIMUM_EXPLAINING_SHARE = 0.05;

export interface PoolOwnerOptions {
  readonly store: TransactionalStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationFollower;
  readonly owner: OwnerRecord;
  /** Revision of the owner's claim. */
  readonly epoch: number;
  readonly validity: LeaseValidity;
  /** True if no earlier owner could act any more at the claim. */
  readonly isSole: boolean;
  /** TTL of the owner's lease; a predecessor may have acted for that long. */
  readonly ownerTtlMillis: number;
  readonly runLeaseMillis: number;
  /** How long the state of an ended workflow is kept. */
  readonly retentionMillis: number;
  readonly features: SchedulingFeatures;
  readonly onDeposed: (reason: string) => void;
}

/**
 * Owns a pool of workers: receives accepted workflows, places runs of their
 * tasks on workers, and applies the ends of runs. No run is started before its
 * placement is durable, and no end is acknowledged before it is durable.
 */
export class PoolOwner {
  private readonly commits: CommitLog;
  private readonly workflowRegistry: WorkflowRegistry;
  private readonly workerRegistry = new WorkerRegistry();
  private readonly supervisor: RunSupervisor;
  /** Undefined if the feature is off. */
  private readonly reservations: GapReservations | undefined;
  private readonly retries: RetryHistory;
  private readonly attachments: PoolAttachments;
  private readonly availability: WorkerAvailability;
  private readonly learnedInterference: LearnedInterference;
  private readonly absentTasks: AbsentTaskReporter;
  /** Undefined if no task gets a second run. */
  private readonly copies: TaskCopies | undefined;
  /** Undefined if admission control is off. */
  private readonly admission: OwnerAdmission | undefined;
  /** Keys of workers whose earlier incarnations may still have runs placed. */
  private readonly joiningWorkers = new Set<string>();
  private readonly lastTerms = new Map<string, QueueTerms>();
  private readonly ownedSince: number;
  private readonly timers = new Set<Timer>();
  private readonly planningAction: CoalescedAction;
  private readonly explainingLimit: ShareLimit;
  private loaded = false;
  private closedReason: string | undefined;

  constructor(private readonly options: PoolOwnerOptions) {
    const {clock, store, logger, metrics, owner, epoch, features} = options;
    this.ownedSince = clock.now();
    this.planningAction = new CoalescedAction({
      clock,
      maximumShare: MAXIMUM_PLANNING_SHARE,
      action: () => this.plan(),
    });
    this.explainingLimit = new ShareLimit(clock, MAXIMUM_EXPLAINING_SHARE);
    const soleSince =
      this.ownedSince + (options.isSole ? 0 : options.ownerTtlMillis);
    this.attachments = new PoolAttachments({...options, soleSince});
    this.availability = new WorkerAvailability({
      workerRegistry: this.workerRegistry,
      attachments: this.attachments,
      configuration: options.configuration,
    });
    this.retries = new RetryHistory(
      clock,
      id => this.workflowRegistry.get(id)?.isOpen ?? false,
    );
    this.commits = new CommitLog({
      store,
      clock,
      logger,
      metrics,
      owner,
      epoch,
      isSole: () => clock.now() >= soleSince,
      onDeposed: reason => options.onDeposed(reason),
    });
    this.workflowRegistry = new WorkflowRegistry({
      commits: this.commits,
      workerRegistry: this.workerRegistry,
      termsOf: workflow => this.termsOf(workflow),
    });
    this.supervisor = new RunSupervisor({
      clock,
      logger,
      metrics,
      features,
      workflowRegistry: this.workflowRegistry,
      retries: this.retries,
      termsOf: workflow => this.termsOf(workflow),
      attachedWorkers: () => this.availability.attached,
      usableWorkers: () => this.availability.usable(clock.now()),
      sendStop: (worker, task, run) =>
        this.attachments.find(worker)?.stop(task, run),
      sendPace: (worker, task, run, percent) =>
        this.attachments.find(worker)?.pace(task, run, percent),
    });
    this.reservations = options.features.reservations
      ? new GapReservations(
          this.supervisor.durations,
          new ReservationReporter(options),
        )
      : undefined;
    this.learnedInterference = new LearnedInterference({
      store,
      commits: this.commits,
      logger,
      interference: this.supervisor.interference,
    });
    const {workerRegistry} = this;
    this.absentTasks = new AbsentTaskReporter({
      clock,
      logger,
      metrics,
      workflows: () => this.workflowRegistry.workflows,
      canPlace: () => this.canPlace,
      mayPlace: reference => this.retries.mayPlace(taskNameOf(reference)),
      isUnsendable: reference =>
        this.retries.isUnsendable(taskNameOf(reference)),
      absenceOf: (worker, now) => this.availability.absenceOf(worker, now),
      viewOf: worker => workerRegistry.get(worker),
      countWorkers: (reference, now) =>
        countObstacles({
          round: this.placementRound(now),
          reference,
          unusableWorkers: this.availability.unusable(now),
        }),
      leaseLeftMillis: worker => this.attachments.leaseLeftMillis(worker),
    });
    const {durations, slowRuns} = this.supervisor;
    this.copies = features.copies
      ? new TaskCopies({...options, workerRegistry, durations, slowRuns})
      : undefined;
    if (!options.features.admission) return;
    this.admission = new OwnerAdmission({
      clock,
      workflows: () => this.workflowRegistry.workflows,
      order: this.supervisor.order,
      termsOf: workflow => this.termsOf(workflow),
    });
  }

  /** What entries decide by; undefined if admission control is off. */
  get outlook(): AdmissionOutlook | undefined {
    return this.loaded ? this.admission?.outlook : undefined;
  }

  get epoch(): number {
    return this.options.epoch;
  }

  /** Loads the workflows from the store; must complete before other calls. */
  async load(): Promise<void> {
    const {store, logger, clock, features} = this.options;
    const [specs, progress, inbox] = await Promise.all([
      store.list(StoreKeys.SPEC_PREFIX),
      store.list(StoreKeys.PROGRESS_PREFIX),
      store.list(StoreKeys.INBOX_PREFIX),
      features.sharedInterference ? this.learnedInterference.load() : undefined,
    ]);
    const progressById = new Map(
      progress.values.map(({key, value}) => [lastKeySegment(key), value]),
    );
    const newKeys = inbox.values.filter(({key}) =>
      key.startsWith(StoreKeys.NEW_PREFIX),
    );
    const inboxKeyById = new Map(
      newKeys.map(({key}) => [lastKeySegment(key), key]),
    );
    for (const {key, value} of specs.values) {
      const id = lastKeySegment(key);
      const inboxKey = inboxKeyById.get(id);
      const inboxKeys = inboxKey ? [inboxKey] : [];
      this.restore(id, value, progressById.get(id), inboxKeys);
    }
    if (this.closedReason !== undefined) return;
    this.loaded = true;
    logger.event(Events.POOL_OWNED, {
      epoch: this.epoch,
      workflows: specs.values.length,
      tookMillis: Math.round(clock.now() - this.ownedSince),
    });
    this.scheduleEvery(TICK_INTERVAL_MILLIS, () => this.tick());
    this.scheduleEvery(INBOX_POLL_INTERVAL_MILLIS, () => void this.readInbox());
    this.scheduleEvery(EXPIRY_INTERVAL_MILLIS, () => this.expire());
    this.scheduleEvery(ABSENCE_INTERVAL_MILLIS, () => this.absentTasks.check());
    if (features.sharedInterference) {
      this.scheduleEvery(LEARNED_SAVE_INTERVAL_MILLIS, () =>
        this.learnedInterference.save(),
      );
    }
    this.scheduleRefusalRemoval();
    for (const {key} of inbox.values) {
      if (key.startsWith(StoreKeys.CANCEL_PREFIX))
        this.cancel(lastKeySegment(key));
    }
    this.planningAction.schedule();
  }

  /** Called when an agent has opened a stream. */
  attach(
    attachment: Attachment<WorkerCommands>,
  ): AttachmentListener<WorkerUpdate> {
    const {clock, logger} = this.options;
    return new WorkerAttachment({
      attachment,
      clock,
      logger,
      epoch: this.epoch,
      leaseMillis: () => this.leaseMillis(),
      listener: {
        onAttached: workerAttachment => this.attachments.add(workerAttachment),
        onWorker: (agent, traits) => this.registerWorker(agent, traits),
        onEnd: (view, end, effect) => this.applyEnd(view, end, effect),
        onStartResult: (view, result) => this.handleStartResult(view, result),
        onRunList: view => this.handleRunList(view),
        onLeaseExpired: view =>
          this.closeLostRuns(view.key, 'the lease has expired'),
        onLeaseGranted: (view, startsAt) =>
          this.attachments.recordGrant(view.key, startsAt),
        onDetached: (workerAttachment, reason) =>
          this.attachments.remove(workerAttachment, reason),
        onDropped: (kind, task, run, reason) =>
          this.handleDropped(kind, task, run, reason),
        findStep: task => this.stepOf(task),
      },
    });
  }

  /** Called when a workflow was stored. */
  addWorkflow(spec: WorkflowSpec): void {
    if (!this.loaded || !this.workflowRegistry.add(spec)) return;
    const workflow = this.workflowRegistry.get(spec.id);
    if (workflow) this.supervisor.order.record(workflow);
    if (workflow) this.admission?.recordWorkflow(workflow);
    workflow?.openDue(this.options.clock.wallTime());
    this.planningAction.schedule();
  }

  /** Called when a cancellation was stored. */
  cancel(id: string): void {
    if (!this.loaded || !this.workflowRegistry.has(id)) return;
    const {clock, logger} = this.options;
    const workflow = this.workflowRegistry.get(id);
    const changed = this.workflowRegistry.cancel(id, clock.wallTime());
    if (!changed) return;
    this.supervisor.forgetWorkflow(id);
    logger.event(Events.WORKFLOW_ENDED, {workflow: id, state: 'cancelled'});
    if (workflow) this.stopRuns(workflow);
    this.planningAction.schedule();
  }

  /** Returns the durable state of a workflow; undefined if it is unknown. */
  stateOf(id: string): WorkflowState | undefined {
    return this.loaded ? this.workflowRegistry.stateOf(id) : undefined;
  }

  get isLoaded(): boolean {
    return this.loaded;
  }

  countQueued(queue: string): number {
    return this.workflowRegistry.countQueued(queue);
  }

  /**
   * Explains where the tasks of a workflow that is not stored would be placed
   * now, without an effect on the state.
   */
  explainPlacement(spec: WorkflowSpec): ExplanationResult {
    if (!this.canPlace) return notExplained(ExplanationStatus.NO_OWNER);
    const explanation = this.explainingLimit.run(() => this.explain(spec));
    return explanation === undefined
      ? notExplained(ExplanationStatus.BUSY)
      : {status: ExplanationStatus.EXPLAINED, explanation};
  }

  /** Returns workers with their runs, and open workflows, for operators. */
  dumpState(): object {
    const now = this.options.clock.now();
    return {
      epoch: this.epoch,
      canPlace: this.canPlace,
      absentTasks: this.absentTasks.dump(),
      workflowsWithNotes: this.retries.size,
      workers: this.workerRegistry.all.map(view => ({
        worker: view.key,
        isAttached: this.attachments.hasAgent(view.agent),
        heardMillisAgo: Math.round(now - view.lastMessageAt),
        silentMillis: view.silentMillis,
        draining: view.traits.draining,
        room: view.traits.room,
        reserved: view.reserved,
        runs: [...view.placed.keys()],
        paces: Object.fromEntries(view.paces),
      })),
      workflows: [...this.workflowRegistry.workflows].map(
        ({id, state, spec}) => ({
          workflow: id,
          state,
          queue: spec.queue,
        }),
      ),
      reservations: this.reservations?.held.map(reservation => ({
        worker: reservation.worker,
        workflow: reservation.holder.workflow.id,
        step: reservation.holder.step,
        expectedInMillis: Math.round(reservation.expectedAt - now),
      })),
    };
  }

  /** Called when the configuration or the evacuated domains have changed. */
  handleConfigurationChange(): void {
    this.planningAction.schedule();
  }

  close(reason: string): void {
    if (this.closedReason !== undefined) return;
    this.closedReason = reason;
    for (const timer of this.timers) timer.cancel();
    this.planningAction.close();
    this.absentTasks.close();
    this.reservations?.endAll(ReservationEnd.OWNER_CLOSED);
    this.commits.close(reason);
    this.attachments.close(reason);
  }

  private restore(
    id: string,
    specText: string,
    progress: string | undefined,
    inboxKeys: readonly string[],
  ): void {
    try {
      if (isRefusal(specText)) return;
      const ended = decodeEnded(specText);
      if (ended)
        return this.workflowRegistry.restoreEnded(id, ended, inboxKeys);
      const workflow = decodeWorkflow(decodeSpec(specText), progress);
      this.workflowRegistry.restore(workflow, inboxKeys);
      this.supervisor.order.record(workflow);
    } catch (error) {
      const reason = messageOf(error);
      this.options.logger.event(Events.UNEXPECTED_FAULT, {reason});
    }
  }

  private scheduleEvery(periodMillis: number, action: () => void): void {
    const {clock} = this.options;
    const timer = clock.schedule(periodMillis, () => {
      this.timers.delete(timer);
      if (this.closedReason !== undefined) return;
      action();
      this.scheduleEvery(periodMillis, action);
    });
    this.timers.add(timer);
  }

  /** Returns 0, so no lease, before loading and once another may own the pool. */
  private leaseMillis(): number {
    const {validity, runLeaseMillis} = this.options;
    if (!this.loaded || this.closedReason !== undefined) return 0;
    return validity.isValid ? runLeaseMillis : 0;
  }

  private registerWorker(agent: string, traits: WorkerTraits): WorkerView {
    const {logger} = this.options;
    const key = workerKey(agent, traits.incarnation);
    const isKnown = this.workerRegistry.get(key) !== undefined;
    const view = this.workerRegistry.report(agent, traits);
    if (isKnown) return view;
    // An earlier owner may have granted it a lease up to now.
    this.attachments.recordGrant(key, this.options.clock.now());
    logger.event(Events.WORKER_JOINED, {
      worker: view.key,
      failureDomain: traits.failureDomain,
      milliprocessors: traits.room.milliprocessors,
      memoryMegabytes: traits.room.memoryMegabytes,
    });
    this.joiningWorkers.add(view.key);
    this.planningAction.schedule();
    return view;
  }

  /**
   * Closes the runs of earlier incarnations of a restarted worker. Its
   * description does not prove the restart, as a report may be of another
   * writer; its run list does. A listed run was started by a command for an
   * earlier incarnation under the same id: it is stopped as an unexpected one,
   * and closed once it is no longer listed.
   */
  private closeEarlierIncarnations(view: WorkerView): void {
    const hasEnded = ({reference, placement}: PlacedRun): boolean =>
      !view.running.has(runKey(taskNameOf(reference), placement.run));
    let haveAllEnded = true;
    for (const key of this.workerRegistry.occupiedKeys) {
      if (key === view.key || agentOf(key) !== view.agent) continue;
      this.closeLostRuns(key, 'the worker has restarted', hasEnded);
      haveAllEnded &&= this.workerRegistry.placedAt(key).length === 0;
    }
    if (!haveAllEnded) return;
    this.joiningWorkers.delete(view.key);
    for (const other of this.workerRegistry.all) {
      if (other === view || other.agent !== view.agent) continue;
      this.workerRegistry.forget(other.key);
      this.joiningWorkers.delete(other.key);
      this.supervisor.forgetWorker(other.key);
    }
  }

  private applyEnd(view: WorkerView, end: RunEnd, effect: () => void): void {
    const {clock, logger} = this.options;
    const name = parseTaskName(end.task);
    if (!name || !isRunOutcome(end.outcome)) return effect();
    view.running.delete(runKey(end.task, end.run));
    const {outcome} = end;
    this.supervisor.handleEnd(view, name.workflow, end);
    const workflow = this.workflowRegistry.get(name.workflow);
    const wasOpen = workflow?.isOpen ?? false;
    const closing = {
      name,
      run: end.run,
      outcome,
      checkpoint: end.checkpoint,
      allowsCopies: this.options.features.copies,
    };
    const ending = this.copies?.prepareEnd(workflow, closing);
    const changed = this.workflowRegistry.closeRun(
      closing,
      clock.wallTime(),
      effect,
    );
    if (ending) this.copies?.handleEnd(ending, closing);
    logger.event(Events.RUN_ENDED, {
      task: end.task,
      run: end.run,
      worker: view.key,
      outcome,
      number: end.number,
      changed,
    });
    if (workflow && changed) this.admission?.recordEnd(workflow, end);
    if (workflow) this.handleRunClosed(workflow, wasOpen);
    this.planningAction.schedule();
  }

  private handleRunClosed(workflow: Workflow, wasOpen: boolean): void {
    this.stopRuns(workflow);
    if (!wasOpen || workflow.isOpen) return;
    this.supervisor.forgetWorkflow(workflow.id);
    this.options.logger.event(Events.WORKFLOW_ENDED, {
      workflow: workflow.id,
      state: workflow.state,
      queue: workflow.spec.queue,
      ageMillis: workflow.endedAtMillis - workflow.spec.acceptedAtMillis,
    });
  }

  /** Sends stop commands for all runs of the workflow marked as stopping. */
  private stopRuns(workflow: Workflow): void {
    for (const reference of workflow.tasks()) {
      for (const placement of reference.task.placements) {
        if (!placement.stopping) continue;
        const {worker, run} = placement;
        this.attachments.find(worker)?.stop(taskNameOf(reference), run);
      }
    }
  }

  private handleStartResult(view: WorkerView, result: RunStartResult): void {
    if (result.refusal === '') return;
    const {clock, logger} = this.options;
    const name = parseTaskName(result.task);
    if (!name) return;
    logger.event(Events.RUN_REFUSED, {
      task: result.task,
      run: result.run,
      worker: view.key,
      reason: result.refusal,
    });
    this.retries.recordRefusal(result.task);
    if (isCausedByWorker(result.refusal)) {
      this.supervisor.health.recordRefusal(view.key, clock.now());
    }
    this.workflowRegistry.closeUnfinishedRun(name, result.run);
    this.planningAction.schedule();
  }

  private handleDropped(
    kind: CommandKind,
    task: string,
    run: number,
    reason: string,
  ): void {
    const {logger, metrics} = this.options;
    logger.event(Events.COMMAND_DROPPED, {kind, task, run, reason});
    metrics
      .counter(
        'commands_dropped_total',
        'Commands that no message can carry, by kind.',
        {kind},
      )
      .increment();
    if (kind === 'starts') this.retries.recordUnsendable(task);
  }

  private handleRunList(view: WorkerView): void {
    if (this.joiningWorkers.has(view.key)) this.closeEarlierIncarnations(view);
    for (const [name, {reference}] of view.placed) {
      const run = view.running.get(name);
      if (!run || run.checkpoint === '') continue;
      if (reference.task.done || !this.isAhead(reference, run)) continue;
      reference.task.checkpoint = run.checkpoint;
    }
    this.supervisor.handleRunList(view);
  }

  /** False if another run of the task is known to have done more. */
  private isAhead(
    {task}: TaskReference,
    {task: name, percent}: WorkerRun,
  ): boolean {
    return task.placements.every(({worker, run}) => {
      const view = this.workerRegistry.get(worker);
      return percent >= (view?.running.get(runKey(name, run))?.percent ?? 0);
    });
  }

  /** Closes runs on a worker; they must be guaranteed to have ended. */
  private closeLostRuns(
    key: string,
    reason: string,
    hasEnded: (placed: PlacedRun) => boolean = () => true,
  ): void {
    const lost = this.workerRegistry.placedAt(key).filter(hasEnded);
    for (const {reference, placement} of lost) {
      const task = taskNameOf(reference);
      this.options.logger.event(Events.RUN_LOST, {
        task,
        run: placement.run,
        worker: key,
        reason,
      });
      this.workflowRegistry.closeUnfinishedRun(reference.name, placement.run);
      this.copies?.recordLoss(reference, placement);
    }
    this.planningAction.schedule();
  }

  private stepOf(task: string): TaskReference['step'] | undefined {
    const name = parseTaskName(task);
    return (
      name && this.workflowRegistry.get(name.workflow)?.spec.steps[name.step]
    );
  }

  private tick(): void {
    this.closeExpiredRuns();
    this.supervisor.moveStalledBestEffortRuns();
    this.supervisor.moveFromDrainingWorkers();
    this.admission?.observe();
    this.workflowRegistry.openDueOccurrences(this.options.clock.wallTime());
    this.planningAction.schedule();
  }

  /** Closes the runs on workers whose leases have expired. */
  private closeExpiredRuns(): void {
    const {attachments} = this;
    for (const key of this.workerRegistry.occupiedKeys) {
      if (!attachments.hasExpired(key)) continue;
      const {at, basis} = attachments.lastGrantOf(key);
      this.options.logger.event(Events.LEASE_EXPIRED, {
        worker: key,
        basis,
        grantedMillisAgo: Math.round(this.options.clock.now() - at),
      });
      this.closeLostRuns(
        key,
        'no message from the agent until the lease expired',
      );
    }
  }

  private async readInbox(): Promise<void> {
    const {store, logger} = this.options;
    try {
      const inbox = await store.list(StoreKeys.INBOX_PREFIX);
      for (const {key} of inbox.values) await this.processInboxKey(key);
    } catch (error) {
      const reason = messageOf(error);
      logger.event(Events.OPERATOR_KEYS_STALE, {reason, keys: 'inbox'});
    }
  }

  private async processInboxKey(key: string): Promise<void> {
    const id = lastKeySegment(key);
    if (!this.workflowRegistry.has(id)) {
      const stored = await this.options.store.get(specKey(id));
      if (stored && this.closedReason === undefined) {
        this.applyStoredWorkflow(id, stored.value, key);
      }
    }
    if (key.startsWith(StoreKeys.CANCEL_PREFIX)) this.cancel(id);
  }

  private applyStoredWorkflow(
    id: string,
    text: string,
    inboxKey: string,
  ): void {
    if (isRefusal(text)) return;
    const ended = decodeEnded(text);
    if (ended) this.workflowRegistry.restoreEnded(id, ended, [inboxKey]);
    else this.addWorkflow(decodeSpec(text));
  }

  private scheduleRefusalRemoval(): void {
    const {features, store, clock, logger, retentionMillis} = this.options;
    if (!features.admission) return;
    const removal = new RefusalRemoval({
      store,
      clock,
      logger,
      retentionMillis: RETENTION_FACTOR * retentionMillis,
    });
    this.scheduleEvery(REFUSAL_REMOVAL_INTERVAL_MILLIS, () => removal.run());
  }

  private expire(): void {
    const {clock, retentionMillis} = this.options;
    this.attachments.discardExpiredGrants();
    this.workflowRegistry.expire(
      clock.wallTime() - RETENTION_FACTOR * retentionMillis,
    );
  }

  private plan(): void {
    const {clock, logger} = this.options;
    if (!this.canPlace) return;
    const now = clock.now();
    this.supervisor.idle.observe(this.workflowRegistry.workflows, now);
    const planned = planPlacements(this.placementRound(now));
    for (const {reference, worker, run} of planned) {
      const task = taskNameOf(reference);
      const placed = this.workflowRegistry.place(
        reference,
        worker,
        run,
        durable => {
          this.copies?.recordStart(durable);
          this.attachments.find(worker.key)?.start(durable);
        },
      );
      placed.placedAt = now;
      logger.event(Events.RUN_PLACED, {
        task,
        run: placed.placement.run,
        worker: worker.key,
        heardMillisAgo: Math.round(now - worker.lastMessageAt),
        ageMillis: Math.round(
          clock.wallTime() - reference.occurrence.dueAtMillis,
        ),
      });
      this.copies?.recordPlacement(placed);
    }
  }

  /** Returns an explanation as JSON. */
  private explain(spec: WorkflowSpec): string {
    const {clock, logger} = this.options;
    const now = clock.now();
    const round = this.placementRound(now);
    const explanation = explainPlacement({
      round: {
        ...round,
        reservations: this.reservations?.copy(),
        // A workflow may have been placed since its last observation.
        idleMillis: workflow =>
          workflow.hasPlacements ? 0 : round.idleMillis(workflow),
      },
      spec: {...spec, acceptedAtMillis: clock.wallTime()},
      unusableWorkers: this.availability.unusable(now),
    });
    const text = JSON.stringify(explanation);
    logger.event(Events.PLACEMENT_EXPLAINED, {
      queue: spec.queue,
      steps: spec.steps.length,
      tookMillis: Math.round(clock.now() - now),
    });
    return text;
  }

  private get canPlace(): boolean {
    return this.loaded && this.options.validity.isValid;
  }

  /** Returns the input of a round of placement. */
  private placementRound(now: number): PlacementRound {
    const {health, interference, order, idle} = this.supervisor;
    return {
      workflows: this.workflowRegistry.workflows,
      workers: this.availability.usable(now),
      health,
      interference,
      order,
      termsOf: workflow => this.termsOf(workflow),
      mayPlace: reference => this.retries.mayPlace(taskNameOf(reference)),
      isAtFault: ({id}) => health.isAtFault(id),
      workersThatFailed: reference =>
        this.retries.workersThatFailed(taskNameOf(reference)),
      idleMillis: workflow => idle.idleMillis(workflow, now),
      limitsProbes: this.options.features.probes,
      reservations: this.reservations,
      copies: this.copies?.round(),
      now,
      wallNow: this.options.clock.wallTime(),
    };
  }

  /** Returns the queue's terms; for a removed queue, the last known ones. */
  private termsOf(workflow: Workflow): QueueTerms | undefined {
    const {queue} = workflow.spec;
    const current = this.options.configuration.table?.findByName(queue);
    if (current) this.lastTerms.set(queue, current);
    return current ?? this.lastTerms.get(queue) ?? workflow.spec.terms;
  }
}

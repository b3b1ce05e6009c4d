import {MINIMUM_SHARE} from '../decisions/eviction/share_allocation.js';
import {ResultCodes} from '../observability/result_codes.js';
import {WorkerTaskState} from '../backends/worker.js';
import type {WorkerStatus, WorkerTask} from '../backends/worker.js';
import {attemptKey} from '../decisions/job_types.js';
import {Events} from '../observability/events.js';
import {messageOf} from '../utilities/base_error.js';
import {maximumResources} from '../utilities/resources.js';
import type {AgentContext} from './agent_context.js';
import {createEndedReport, createLostReport} from './attempt_reports.js';
import {AttemptPhase} from './attempt_table.js';
import type {Attempt} from './attempt_table.js';
import type {AttemptCloser} from './commands/attempt_closer.js';
import {withReplyDeadline} from './reply_deadline.js';
import {parseWorkerTaskId} from './worker_task_id.js';

const STATUS_PERIOD_MILLIS = 500;

/** Minimum period per listed task, which bounds the bytes of the statuses. */
const STATUS_PERIOD_PER_TASK_MILLIS = 50;
const STATUS_DEADLINE_MILLIS = 2_000;

/** Maximum drift of the worker's clock during one lease. */
const MAXIMUM_CLOCK_DRIFT_MILLIS = 500;

/** Time after its lease until a silent worker's task counts as lost. */
const SILENT_WORKER_GRACE_MILLIS = 10_000;

/**
 * Polls the worker and updates the agent's attempts and ledger by its status.
 * The first status after a start of the agent shows which attempts to adopt.
 */
export class WorkerMonitor {
  private isPolling = false;
  private nextPollAt = -Infinity;
  private isSilent = false;
  private readonly unmanagedTasks = new Set<string>();

  constructor(
    private readonly context: AgentContext,
    private readonly closer: AttemptCloser,
  ) {}

  /** Polls at the next tick, without waiting for the period. */
  pollSoon(): void {
    this.nextPollAt = -Infinity;
  }

  tick(now: number): void {
    this.closeAttemptsOfSilentWorker(now);
    if (this.isPolling || now < this.nextPollAt) return;
    const tasks = this.context.workerStatus?.tasks.length ?? 0;
    const periodMillis = tasks * STATUS_PERIOD_PER_TASK_MILLIS;
    this.nextPollAt = now + Math.max(STATUS_PERIOD_MILLIS, periodMillis);
    void this.poll(now);
  }

  private async poll(requestedAt: number): Promise<void> {
    const {clock, worker} = this.context;
    this.isPolling = true;
    try {
      const response = worker.status();
      const status = await withReplyDeadline(
        clock,
        response,
        STATUS_DEADLINE_MILLIS,
        'query the status of the worker',
      );
      this.applyStatus(status, requestedAt, clock.now());
    } catch (error) {
      this.recordSilence(messageOf(error));
    } finally {
      this.isPolling = false;
    }
  }

  private recordSilence(reason: string): void {
    if (this.isSilent) return;
    this.isSilent = true;
    this.context.logger.event(Events.WORKER_LOST, {reason});
  }

  private applyStatus(
    status: WorkerStatus,
    requestedAt: number,
    now: number,
  ): void {
    const {context} = this;
    if (this.isSilent) context.logger.event(Events.WORKER_BACK, {});
    this.isSilent = false;
    const isFirst = context.workerStatus === undefined;
    context.workerStatus = status;
    context.workerStatusAt = now;
    context.workerClock.observe(status.workerTime, now);
    context.ledger.setCapacity(status.capacity);
    const listedIds = new Set<string>();
    for (const task of status.tasks) {
      listedIds.add(task.id);
      if (this.isClosed(task, requestedAt)) this.stopClosedTask(task);
      else this.applyTask(task, now);
    }
    this.handleMissingAttempts(listedIds, status, requestedAt, now);
    this.releaseUnmanagedTasks(status);
    if (isFirst) this.logRecovery();
  }

  private logRecovery(): void {
    const adopted = this.context.attempts.live().length;
    this.context.logger.event(Events.WORKER_BACK, {adopted});
  }

  /** True if the task runs although its attempt was closed before the poll. */
  private isClosed(task: WorkerTask, requestedAt: number): boolean {
    if (task.state !== WorkerTaskState.RUNNING) return false;
    const identity = parseWorkerTaskId(task.id);
    if (!identity) return false;
    const key = attemptKey(identity.name);
    const closedAt = this.context.closed.closedAt(key);
    return closedAt !== undefined && closedAt < requestedAt;
  }

  /** Stops a task whose attempt is closed, and so reported as ended. */
  private stopClosedTask(task: WorkerTask): void {
    const {logger, worker} = this.context;
    if (!this.unmanagedTasks.has(task.id)) {
      logger.event(Events.TASK_UNKNOWN_STOPPED, {task: task.id});
    }
    this.commitUnmanagedTask(task);
    worker.stop(task.id).catch(() => undefined);
  }

  private applyTask(task: WorkerTask, now: number): void {
    const attempt =
      this.context.attempts.getByTaskId(task.id) ?? this.adopt(task, now);
    if (!attempt || attempt.phase === AttemptPhase.ENDED) return;
    attempt.seenAt ??= now;
    attempt.missing = false;
    attempt.ranMillis = task.ranMillis;
    attempt.used = maximumResources(attempt.used, task.used);
    if (task.checkpoint) attempt.checkpoint = task.checkpoint;
    if (task.state !== WorkerTaskState.RUNNING) {
      this.closer.close(attempt, createEndedReport(attempt, task));
      return;
    }
    if (attempt.phase !== AttemptPhase.STARTING) return;
    attempt.phase = AttemptPhase.RUNNING;
  }

  /** Adopts a task that an earlier incarnation of the agent started. */
  private adopt(task: WorkerTask, now: number): Attempt | undefined {
    const {attempts, closed, ledger, settings} = this.context;
    const isRunning = task.state === WorkerTaskState.RUNNING;
    const identity = parseWorkerTaskId(task.id);
    if (!identity) {
      if (isRunning) this.commitUnmanagedTask(task);
      return undefined;
    }
    const key = attemptKey(identity.name);
    if (!isRunning && closed.isClosed(key, now)) return undefined;
    const attempt: Attempt = {
      ...identity,
      key,
      taskId: task.id,
      kind: task.kind,
      size: task.size,
      watcher: task.watcher,
      admittedAt: now,
      phase: AttemptPhase.RUNNING,
      leaseEndsAt: now + settings.fleet.taskLeaseMillis,
      leaseConfirmedUntil: -Infinity,
      startValidUntil: -Infinity,
      seenAt: now,
      missing: false,
      lapsed: false,
      stopIntent: undefined,
      // The share is unknown; the tail policy can raise it from the minimum.
      throttledShare: task.throttled ? MINIMUM_SHARE : 1,
      checkpoint: task.checkpoint,
      checkpointedAt: now,
      ranMillis: task.ranMillis,
      used: task.used,
      report: undefined,
    };
    attempts.add(attempt);
    if (isRunning) ledger.adopt(key, task.size);
    return attempt;
  }

  private commitUnmanagedTask(task: WorkerTask): void {
    this.unmanagedTasks.add(task.id);
    this.context.ledger.adopt(task.id, task.size);
  }

  private releaseUnmanagedTasks(status: WorkerStatus): void {
    if (this.unmanagedTasks.size === 0) return;
    const running = new Set<string>();
    for (const task of status.tasks) {
      if (task.state === WorkerTaskState.RUNNING) running.add(task.id);
    }
    for (const id of this.unmanagedTasks) {
      if (running.has(id)) continue;
      this.unmanagedTasks.delete(id);
      this.context.ledger.release(id);
    }
  }

  private handleMissingAttempts(
    listedIds: ReadonlySet<string>,
    status: WorkerStatus,
    requestedAt: number,
    now: number,
  ): void {
    for (const attempt of this.context.attempts.live()) {
      if (listedIds.has(attempt.taskId)) continue;
      if (attempt.seenAt === undefined) {
        if (attempt.admittedAt >= requestedAt) continue;
        if (status.workerTime <= attempt.startValidUntil) continue;
        this.closeAsLost(attempt, 'the worker never confirmed the start');
        continue;
      }
      if (attempt.seenAt >= requestedAt) continue;
      attempt.missing = true;
      // The worker may have been replaced, and the old one still run the task.
      if (now < attempt.leaseEndsAt + MAXIMUM_CLOCK_DRIFT_MILLIS) continue;
      this.closeAsLost(attempt, 'the worker no longer knows the task');
    }
  }

  private closeAttemptsOfSilentWorker(now: number): void {
    if (!this.isSilent) return;
    for (const attempt of this.context.attempts.live()) {
      const closeAt = attempt.leaseEndsAt + SILENT_WORKER_GRACE_MILLIS;
      if (now < closeAt) continue;
      this.closeAsLost(attempt, 'the worker is silent and the lease expired');
    }
  }

  private closeAsLost(attempt: Attempt, reason: string): void {
    const code = ResultCodes.WORKER_UNAVAILABLE;
    this.closer.close(attempt, createLostReport(attempt, code, reason));
  }
}

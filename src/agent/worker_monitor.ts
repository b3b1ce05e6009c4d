import {LEAST_SHARE} from '../decisions/eviction/share_allocation.js';
import {ResultCodes} from '../observability/result_codes.js';
import {WorkerTaskState} from '../backends/worker.js';
import type {WorkerStatus, WorkerTask} from '../backends/worker.js';
import {attemptKey} from '../decisions/job_types.js';
import {Events} from '../observability/events.js';
import {messageOf} from '../utilities/base_error.js';
import {maximumResources} from '../utilities/resources.js';
import type {AgentContext} from './agent_context.js';
import {endedReport, lostReport} from './attempt_reports.js';
import {AttemptPhase} from './attempt_table.js';
import type {Attempt} from './attempt_table.js';
import type {AttemptCloser} from './commands/attempt_closer.js';
import {withReplyDeadline} from './reply_deadline.js';
import {parseWorkerTaskId} from './worker_task_id.js';

const STATUS_PERIOD_MILLIS = 500;

/** Time between two answers for each task in them, to bound their bytes. */
const STATUS_PERIOD_PER_TASK_MILLIS = 50;
const STATUS_DEADLINE_MILLIS = 2_000;

/** What the worker's clock may be off within one lease. */
const CLOCK_MARGIN_MILLIS = 500;

/** How long after its lease a task of a silent worker is given up. */
const SILENT_WORKER_GRACE_MILLIS = 10_000;

/**
 * Polls the worker and brings the agent's books in line with what it runs. The
 * first answer after a start of the agent tells which attempts to adopt.
 */
export class WorkerMonitor {
  private asking = false;
  private nextPollAt = -Infinity;
  private silent = false;
  private readonly foreignTasks = new Set<string>();

  constructor(
    private readonly context: AgentContext,
    private readonly closer: AttemptCloser,
  ) {}

  /** Asks at the next tick, without waiting for the period. */
  pollSoon(): void {
    this.nextPollAt = -Infinity;
  }

  tick(now: number): void {
    this.giveUpAttemptsOfSilentWorker(now);
    if (this.asking || now < this.nextPollAt) return;
    const tasks = this.context.workerStatus?.tasks.length ?? 0;
    const periodMillis = tasks * STATUS_PERIOD_PER_TASK_MILLIS;
    this.nextPollAt = now + Math.max(STATUS_PERIOD_MILLIS, periodMillis);
    void this.poll(now);
  }

  private async poll(askedAt: number): Promise<void> {
    const {clock, worker} = this.context;
    this.asking = true;
    try {
      const answer = worker.status();
      const status = await withReplyDeadline(
        clock,
        answer,
        STATUS_DEADLINE_MILLIS,
        'ask the worker for its status',
      );
      this.takeIn(status, askedAt, clock.now());
    } catch (error) {
      this.noteSilence(messageOf(error));
    } finally {
      this.asking = false;
    }
  }

  private noteSilence(reason: string): void {
    if (this.silent) return;
    this.silent = true;
    this.context.logger.event(Events.WORKER_LOST, {reason});
  }

  private takeIn(status: WorkerStatus, askedAt: number, now: number): void {
    const {context} = this;
    if (this.silent) context.logger.event(Events.WORKER_BACK, {});
    this.silent = false;
    const isFirst = context.workerStatus === undefined;
    context.workerStatus = status;
    context.workerStatusAt = now;
    context.workerClock.observe(status.workerTime, now);
    context.ledger.setCapacity(status.capacity);
    const present = new Set<string>();
    for (const task of status.tasks) {
      present.add(task.id);
      if (this.isOver(task, askedAt)) this.stopUnexplained(task);
      else this.takeInTask(task, now);
    }
    this.takeInAbsence(present, status, askedAt, now);
    this.releaseForeignTasks(status);
    if (isFirst) this.logRecovery();
  }

  private logRecovery(): void {
    const adopted = this.context.attempts.live().length;
    this.context.logger.event(Events.WORKER_BACK, {adopted});
  }

  /** Whether the task runs although the agent has closed its attempt. */
  private isOver(task: WorkerTask, askedAt: number): boolean {
    if (task.state !== WorkerTaskState.RUNNING) return false;
    const identity = parseWorkerTaskId(task.id);
    if (!identity) return false;
    const key = attemptKey(identity.name);
    const closedAt = this.context.closed.closedAt(key);
    return closedAt !== undefined && closedAt < askedAt;
  }

  /** Nothing may go on that was reported as ended. */
  private stopUnexplained(task: WorkerTask): void {
    const {logger, worker} = this.context;
    if (!this.foreignTasks.has(task.id)) {
      logger.event(Events.TASK_UNKNOWN_STOPPED, {task: task.id});
    }
    this.countForeignTask(task);
    worker.stop(task.id).catch(() => undefined);
  }

  private takeInTask(task: WorkerTask, now: number): void {
    const attempt =
      this.context.attempts.getByTaskId(task.id) ?? this.adopt(task, now);
    if (!attempt || attempt.phase === AttemptPhase.ENDED) return;
    attempt.seenAt ??= now;
    attempt.missing = false;
    attempt.ranMillis = task.ranMillis;
    attempt.used = maximumResources(attempt.used, task.used);
    if (task.checkpoint) attempt.checkpoint = task.checkpoint;
    if (task.state !== WorkerTaskState.RUNNING) {
      this.closer.close(attempt, endedReport(attempt, task));
      return;
    }
    if (attempt.phase !== AttemptPhase.STARTING) return;
    attempt.phase = AttemptPhase.RUNNING;
  }

  /** Takes over a task that an earlier run of the agent started. */
  private adopt(task: WorkerTask, now: number): Attempt | undefined {
    const {attempts, closed, ledger, settings} = this.context;
    const isRunning = task.state === WorkerTaskState.RUNNING;
    const identity = parseWorkerTaskId(task.id);
    if (!identity) {
      if (isRunning) this.countForeignTask(task);
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
      // The share isn't known: the least lets the tail policy raise it.
      throttledShare: task.throttled ? LEAST_SHARE : 1,
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

  private countForeignTask(task: WorkerTask): void {
    this.foreignTasks.add(task.id);
    this.context.ledger.adopt(task.id, task.size);
  }

  private releaseForeignTasks(status: WorkerStatus): void {
    if (this.foreignTasks.size === 0) return;
    const running = new Set<string>();
    for (const task of status.tasks) {
      if (task.state === WorkerTaskState.RUNNING) running.add(task.id);
    }
    for (const id of this.foreignTasks) {
      if (running.has(id)) continue;
      this.foreignTasks.delete(id);
      this.context.ledger.release(id);
    }
  }

  private takeInAbsence(
    present: ReadonlySet<string>,
    status: WorkerStatus,
    askedAt: number,
    now: number,
  ): void {
    for (const attempt of this.context.attempts.live()) {
      if (present.has(attempt.taskId)) continue;
      if (attempt.seenAt === undefined) {
        if (attempt.admittedAt >= askedAt) continue;
        if (status.workerTime <= attempt.startValidUntil) continue;
        this.closeAsLost(attempt, 'the worker never answered the start');
        continue;
      }
      if (attempt.seenAt >= askedAt) continue;
      attempt.missing = true;
      // Another worker may have taken this one's place while it still runs.
      if (now < attempt.leaseEndsAt + CLOCK_MARGIN_MILLIS) continue;
      this.closeAsLost(attempt, 'the worker no longer knows the task');
    }
  }

  private giveUpAttemptsOfSilentWorker(now: number): void {
    if (!this.silent) return;
    for (const attempt of this.context.attempts.live()) {
      const givenUpAt = attempt.leaseEndsAt + SILENT_WORKER_GRACE_MILLIS;
      if (now < givenUpAt) continue;
      this.closeAsLost(attempt, 'the worker is silent; the lease lapsed');
    }
  }

  private closeAsLost(attempt: Attempt, reason: string): void {
    const code = ResultCodes.WORKER_UNAVAILABLE;
    this.closer.close(attempt, lostReport(attempt, code, reason));
  }
}

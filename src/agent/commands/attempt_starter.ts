import {attemptKey} from '../../decisions/job_types.js';
import {Events} from '../../observability/events.js';
import {ResultCodes} from '../../observability/result_codes.js';
import {WorkerRefusedError} from '../../backends/platform_errors.js';
import type {StartAttemptsRequest} from '../../protocol/generated/burdockmoor.js';
import {messageOf} from '../../utilities/base_error.js';
import {NO_RESOURCES} from '../../utilities/resources.js';
import type {AgentContext} from '../agent_context.js';
import {createRefusedReport} from '../attempt_reports.js';
import {AttemptPhase} from '../attempt_table.js';
import type {Attempt} from '../attempt_table.js';
import {withReplyDeadline} from '../reply_deadline.js';
import {
  checkClosed,
  checkLease,
  checkSender,
  checkVm,
} from '../start_checks.js';
import type {Refusal} from '../start_checks.js';
import type {WorkerMonitor} from '../worker_monitor.js';
import {formatWorkerTaskId} from '../worker_task_id.js';
import type {AttemptCloser} from './attempt_closer.js';
import type {CapacityReclaimer} from './capacity_reclaimer.js';
import type {CheckedStart} from './start_attempts.js';

const START_DEADLINE_MILLIS = 1_500;
const REPEAT_PERIOD_MILLIS = 1_000;

/** Reserves the size of an attempt and has the worker start it. */
export class AttemptStarter {
  /** Starts that the worker has not confirmed, by attempt key. */
  private readonly unconfirmed = new Map<string, CheckedStart>();
  private repeatAt = -Infinity;

  constructor(
    private readonly context: AgentContext,
    private readonly closer: AttemptCloser,
    private readonly monitor: WorkerMonitor,
    private readonly capacityReclaimer: CapacityReclaimer,
  ) {}

  /** Resolves to the refusal, or undefined if the attempt may run. */
  async start(
    request: StartAttemptsRequest,
    start: CheckedStart,
  ): Promise<Refusal | undefined> {
    const {attempts, ledger} = this.context;
    const key = attemptKey(start.name);
    if (!ledger.reserve(key, start.size)) {
      const isReserved =
        start.urgent &&
        (await this.capacityReclaimer.reserveByEviction(key, start.size));
      if (attempts.get(start.name)) return undefined;
      if (!isReserved) return this.noCapacity();
      // A newer owner may meanwhile have been told that the attempt never ran.
      const refusal =
        checkSender(this.context, request) ??
        checkClosed(this.context, start.name) ??
        checkVm(this.context, request);
      if (refusal) {
        ledger.release(key);
        return refusal;
      }
    }
    const attempt = this.newAttempt(request.shard, start);
    attempts.add(attempt);
    return this.startAtWorker(attempt, start);
  }

  /** Repeats starts without a response from the worker. */
  tick(now: number): void {
    if (now < this.repeatAt) return;
    this.repeatAt = now + REPEAT_PERIOD_MILLIS;
    for (const [key, start] of this.unconfirmed) {
      const attempt = this.context.attempts.get(start.name);
      if (attempt?.phase !== AttemptPhase.STARTING) {
        this.unconfirmed.delete(key);
        continue;
      }
      if (!attempt.stopIntent) void this.repeat(attempt, start);
    }
  }

  private noCapacity(): Refusal {
    const {ledger} = this.context;
    const {milliprocessors, memoryMegabytes, accelerators} = ledger.free;
    const free = `${milliprocessors} milliprocessors, ${memoryMegabytes} MB, ${accelerators} accelerators`;
    return {
      code: ResultCodes.NO_CAPACITY,
      reason: `the free capacity is ${free}`,
    };
  }

  private newAttempt(shard: number, start: CheckedStart): Attempt {
    const {clock} = this.context;
    const {name, kind, size, urgent, watcher, evictable} = start;
    return {
      key: attemptKey(name),
      taskId: formatWorkerTaskId({name, shard, urgent, evictable}),
      name,
      shard,
      kind,
      size,
      urgent,
      watcher,
      evictable,
      admittedAt: clock.now(),
      phase: AttemptPhase.STARTING,
      leaseEndsAt: -Infinity,
      leaseConfirmedUntil: -Infinity,
      startValidUntil: -Infinity,
      seenAt: undefined,
      missing: false,
      lapsed: false,
      stopIntent: undefined,
      throttledShare: 1,
      checkpoint: start.checkpoint,
      checkpointedAt: clock.now(),
      ranMillis: 0,
      used: NO_RESOURCES,
      report: undefined,
    };
  }

  private async startAtWorker(
    attempt: Attempt,
    start: CheckedStart,
  ): Promise<Refusal | undefined> {
    const {leases, logger} = this.context;
    const refusal = checkLease(this.context, attempt.shard);
    if (refusal) return this.refuse(attempt, refusal);
    const endsAt = leases.endsAt(attempt.shard);
    try {
      await this.callStart(attempt, start, endsAt);
    } catch (error) {
      if (error instanceof WorkerRefusedError) {
        const reason = messageOf(error);
        return this.refuse(attempt, {code: ResultCodes.WORKER_REFUSED, reason});
      }
      this.unconfirmed.set(attempt.key, start);
      this.monitor.pollSoon();
      logger.event(Events.TASK_START_UNKNOWN, {attempt: attempt.key});
      return undefined;
    }
    this.recordStarted(attempt, endsAt);
    return undefined;
  }

  private callStart(
    attempt: Attempt,
    start: CheckedStart,
    endsAt: number,
  ): Promise<void> {
    const {clock, worker, workerClock} = this.context;
    const leaseExpiresAt = workerClock.toWorkerTime(endsAt);
    attempt.leaseEndsAt = Math.max(attempt.leaseEndsAt, endsAt);
    attempt.startValidUntil = Math.max(attempt.startValidUntil, leaseExpiresAt);
    const response = worker.start({
      id: attempt.taskId,
      kind: start.kind,
      size: start.size,
      payload: start.payload,
      checkpoint: start.checkpoint,
      watcher: start.watcher,
      leaseExpiresAt,
    });
    const description = `start ${attempt.taskId}`;
    return withReplyDeadline(
      clock,
      response,
      START_DEADLINE_MILLIS,
      description,
    );
  }

  /** Repeats a start; the worker recognizes an id that it already started. */
  private async repeat(attempt: Attempt, start: CheckedStart): Promise<void> {
    if (checkLease(this.context, attempt.shard)) return;
    this.unconfirmed.delete(attempt.key);
    const endsAt = attempt.leaseEndsAt;
    try {
      await this.callStart(attempt, start, endsAt);
      this.recordStarted(attempt, endsAt);
    } catch {
      // A refusal does not cover the first call, which may still arrive.
      this.unconfirmed.set(attempt.key, start);
    }
  }

  private recordStarted(attempt: Attempt, endsAt: number): void {
    attempt.seenAt ??= this.context.clock.now();
    attempt.leaseConfirmedUntil = Math.max(attempt.leaseConfirmedUntil, endsAt);
    if (attempt.phase !== AttemptPhase.STARTING) return;
    attempt.phase = AttemptPhase.RUNNING;
    const {logger} = this.context;
    logger.event(Events.TASK_STARTED, {attempt: attempt.key});
  }

  private refuse(attempt: Attempt, refusal: Refusal): Refusal {
    const {code, reason} = refusal;
    const {name} = attempt;
    this.closer.close(attempt, createRefusedReport(name, code, reason));
    return refusal;
  }
}

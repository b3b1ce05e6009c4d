import {SlotQueue} from '../../decisions/admission/slot_queue.js';
import type {SlotItem} from '../../decisions/admission/slot_queue.js';
import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import {ExecutorFailure} from '../../backends/executor.js';
import type {Executor, ExecutorResponse} from '../../backends/executor.js';
import {ExecutorError} from '../../backends/platform_errors.js';
import type {
  ExecutorReport,
  InterferenceSample,
  ServeReply,
  ServeRequest,
} from '../../protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../../protocol/links.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Timer} from '../../utilities/clock.js';
import {isDrained, isFailureDomainOut} from '../agent_context.js';
import type {AgentContext, ExecutorConfiguration} from '../agent_context.js';
import type {AgentMetrics} from '../agent_metrics.js';
import {ExecutorProbe} from '../executor_probe.js';
import {executorReport} from '../queries/executor_report.js';
import {RequestDeduplicator} from '../request_deduplicator.js';
import {withReplyDeadline} from '../reply_deadline.js';
import type {TailProtection} from '../tail_protection.js';

/** Retry delay for requests refused for other reasons than a full queue. */
const RETRY_AFTER_MILLIS = 500;

/**
 * Time within which the executor may start a request sent to it. It is far above
 * the duration of a send, and below the few seconds in which an upstream that
 * shuts down may still receive work.
 */
const START_VALIDITY_MILLIS = 1_000;

/** A request in the queue or on the executor. */
interface AdmittedRequest {
  readonly request: ServeRequest;
  readonly arrivedAt: number;
  readonly settle: (reply: ServeReply) => void;
}

/** Runs service requests on the executor as its slots become free. */
export class ServeRequests {
  private readonly queue: SlotQueue<AdmittedRequest>;
  private readonly probe: ExecutorProbe;
  private readonly repeated = new RequestDeduplicator();
  private arrivals = 0;
  private expiryTimer: Timer | undefined;

  constructor(
    private readonly context: AgentContext,
    private readonly configuration: ExecutorConfiguration,
    private readonly executor: Executor,
    private readonly protection: TailProtection,
    private readonly metrics: AgentMetrics,
  ) {
    const {clock, logger} = context;
    this.queue = new SlotQueue(configuration);
    this.probe = new ExecutorProbe(executor, clock, logger);
  }

  /** The number of requests that are queued or in flight. */
  get openCount(): number {
    return this.queue.inFlight + this.queue.queued;
  }

  report(): ExecutorReport {
    return executorReport(this.configuration, this.queue, {
      draining: this.isDraining(),
      unavailable: this.probe.isUnavailable,
      tailMillis: this.protection.tailMillis(this.context.clock.now()),
    });
  }

  /** Refuses new requests from now on; admitted ones still run. */
  drain(): void {
    this.queue.drain();
  }

  tick(now: number): void {
    this.probe.tick(now);
    this.protection.tick(now);
  }

  /** Returns the measured slowdown of the service by kind of task. */
  interference(): InterferenceSample[] {
    return this.protection.interferenceSamples();
  }

  execute(request: ServeRequest): Promise<ServeReply> {
    const now = this.context.clock.now();
    return this.repeated.runOnce(request, now, () => this.admit(request, now));
  }

  private isDraining(): boolean {
    return isDrained(this.context) || isFailureDomainOut(this.context);
  }

  private admit(request: ServeRequest, now: number): Promise<ServeReply> {
    const refusal = this.refusalFor(request);
    if (refusal) {
      return Promise.resolve(
        this.notRunReply(request, refusal, refusal.meaning, RETRY_AFTER_MILLIS),
      );
    }
    return new Promise(settle => {
      const id = `${this.arrivals++}`;
      const deadlineAt = now + request.deadlineMillis;
      const value = {request, arrivedAt: now, settle};
      this.offer({id, deadlineAt, value}, now);
    });
  }

  private refusalFor(request: ServeRequest): ResultCode | undefined {
    const {service} = this.configuration;
    if (request.service !== service) return ResultCodes.NO_UPSTREAM;
    if (this.isDraining()) return ResultCodes.UPSTREAM_DRAINING;
    if (this.probe.isUnavailable) return ResultCodes.EXECUTOR_UNREACHABLE;
    return undefined;
  }

  private offer(item: SlotItem<AdmittedRequest>, now: number): void {
    const decision = this.queue.offer(item, now);
    if (decision.kind === 'run') {
      void this.run(item);
      return;
    }
    if (decision.kind === 'queued') {
      this.scheduleExpiry(now);
      return;
    }
    const {code, retryAfterMillis} = decision;
    const {request, settle} = item.value;
    settle(this.notRunReply(request, code, code.meaning, retryAfterMillis));
  }

  private async run(item: SlotItem<AdmittedRequest>): Promise<void> {
    const {clock} = this.context;
    const startedAt = clock.now();
    const {request, arrivedAt, settle} = item.value;
    const reply = await this.send(request, item.deadlineAt - startedAt);
    const now = clock.now();
    const {run, expired} = this.queue.release(item.id, now - startedAt, now);
    if (reply.outcome !== ServeOutcome.NOT_RUN) {
      const answerMillis = now - arrivedAt;
      const serviceMillis = now - startedAt;
      this.protection.observe({answerMillis, serviceMillis}, now);
      this.metrics.responseTimes.record(answerMillis);
    }
    settle({...reply, executor: this.report()});
    this.settleExpired(expired);
    for (const next of run) void this.run(next);
  }

  private async send(
    request: ServeRequest,
    deadlineMillis: number,
  ): Promise<ServeReply> {
    try {
      const response = await withReplyDeadline(
        this.context.clock,
        this.executor.send({
          requestId: request.requestId,
          method: request.method,
          path: request.path,
          headers: request.headers.map(({name, value}) => [name, value]),
          body: request.body,
          deadlineMillis,
          startByMillis: this.context.clock.wallTime() + START_VALIDITY_MILLIS,
        }),
        deadlineMillis,
        `${request.method} ${request.path}`,
      );
      return this.answeredReply(request, response);
    } catch (error) {
      return this.failedReply(request, error);
    }
  }

  private answeredReply(
    request: ServeRequest,
    response: ExecutorResponse,
  ): ServeReply {
    return {
      requestId: request.requestId,
      outcome: ServeOutcome.ANSWERED,
      resultCode: 0,
      status: response.status,
      headers: response.headers.map(([name, value]) => ({name, value})),
      body: Buffer.from(response.body),
      retryAfterMillis: 0,
      reason: '',
      executor: undefined,
    };
  }

  private failedReply(request: ServeRequest, error: unknown): ServeReply {
    this.probe.probeSoon();
    const reason = messageOf(error);
    if (
      error instanceof ExecutorError &&
      error.failure === ExecutorFailure.NOT_SENT
    ) {
      const code = ResultCodes.EXECUTOR_UNREACHABLE;
      return this.notRunReply(request, code, reason, RETRY_AFTER_MILLIS);
    }
    const code = ResultCodes.OUTCOME_UNKNOWN;
    return this.unansweredReply(request, ServeOutcome.UNKNOWN, code, reason, 0);
  }

  private notRunReply(
    request: ServeRequest,
    code: ResultCode,
    reason: string,
    retryAfterMillis: number,
  ): ServeReply {
    this.metrics.requestsNotRun.increment();
    const outcome = ServeOutcome.NOT_RUN;
    return this.unansweredReply(
      request,
      outcome,
      code,
      reason,
      retryAfterMillis,
    );
  }

  private unansweredReply(
    request: ServeRequest,
    outcome: ServeOutcome,
    code: ResultCode,
    reason: string,
    retryAfterMillis: number,
  ): ServeReply {
    return {
      requestId: request.requestId,
      outcome,
      resultCode: code.number,
      status: 0,
      headers: [],
      body: Buffer.alloc(0),
      retryAfterMillis: Math.ceil(retryAfterMillis),
      reason,
      executor: this.report(),
    };
  }

  /** Schedules the refusal of queued requests when their deadline passes. */
  private scheduleExpiry(now: number): void {
    this.expiryTimer?.cancel();
    const next = this.queue.nextDeadline();
    if (next === undefined) return;
    const {clock} = this.context;
    this.expiryTimer = clock.schedule(next - now, () => {
      const firedAt = clock.now();
      this.settleExpired(this.queue.expire(firedAt));
      this.scheduleExpiry(firedAt);
    });
  }

  private settleExpired(
    expired: ReadonlyArray<SlotItem<AdmittedRequest>>,
  ): void {
    const code = ResultCodes.DEADLINE_PASSED;
    for (const {value} of expired) {
      const {request, settle} = value;
      settle(this.notRunReply(request, code, code.meaning, RETRY_AFTER_MILLIS));
    }
  }
}

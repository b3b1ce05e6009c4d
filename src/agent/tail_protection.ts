import {GuardActionType} from '../decisions/eviction/tail_policy.js';
import type {
  GuardAction,
  GuardedTask,
  GuardView,
  ServiceAnswer,
  TailPolicy,
} from '../decisions/eviction/tail_policy.js';
import {Events} from '../observability/events.js';
import {ResultCodes} from '../observability/result_codes.js';
import type {InterferenceSample} from '../protocol/generated/burdockmoor.js';
import type {AgentContext} from './agent_context.js';
import {AttemptPhase} from './attempt_table.js';
import type {Attempt} from './attempt_table.js';
import type {AttemptStopper} from './commands/attempt_stopper.js';
import {evictionIntent} from './commands/attempt_stopper.js';
import {withReplyDeadline} from './reply_deadline.js';

const DECISION_PERIOD_MILLIS = 500;
const THROTTLE_DEADLINE_MILLIS = 1_000;
const CHECKPOINT_DEADLINE_MILLIS = 5_000;

/** Carries out the decisions of the tail policy at the worker. */
export class TailProtection {
  private nextDecisionAt = -Infinity;
  private isTargetMissed = false;
  /** Keys of attempts with a call in flight. */
  private readonly callsInFlight = new Set<string>();

  constructor(
    private readonly context: AgentContext,
    private readonly service: string,
    private readonly policy: TailPolicy,
    private readonly stopper: AttemptStopper,
  ) {}

  observe(response: ServiceAnswer, now: number): void {
    this.policy.observe(response, now);
  }

  tailMillis(now: number): number {
    return this.policy.tailMillis(now);
  }

  interferenceSamples(): InterferenceSample[] {
    const {service} = this;
    return this.policy
      .slowdowns()
      .map(({kind, slowdown}) => ({service, taskKind: kind, slowdown}));
  }

  /** True if the task may run beside the service. */
  admits(task: GuardedTask): boolean {
    return this.policy.admits(task, this.currentView(this.context.clock.now()));
  }

  tick(now: number): void {
    if (now < this.nextDecisionAt) return;
    this.nextDecisionAt = now + DECISION_PERIOD_MILLIS;
    const view = this.currentView(now);
    if (view.milliprocessors === 0) return;
    this.logTargetChange(view.targetMillis, now);
    for (const action of this.policy.decide(view, now)) this.execute(action);
  }

  private currentView(now: number): GuardView {
    const {attempts, ledger, settings} = this.context;
    const tasks: GuardedTask[] = [];
    for (const attempt of attempts.all()) {
      if (attempt.phase === AttemptPhase.ENDED) continue;
      tasks.push(toGuardedTask(attempt, now));
    }
    return {
      targetMillis: settings.service(this.service)?.targetTailMillis ?? 0,
      milliprocessors: ledger.capacity.milliprocessors,
      tasks,
    };
  }

  private logTargetChange(targetMillis: number, now: number): void {
    const tailMillis = this.tailMillis(now);
    const isMissed = targetMillis > 0 && tailMillis > targetMillis;
    if (isMissed === this.isTargetMissed) return;
    this.isTargetMissed = isMissed;
    const type = isMissed ? Events.TAIL_TARGET_MISSED : Events.TAIL_TARGET_MET;
    const {service} = this;
    this.context.logger.event(type, {service, tailMillis, targetMillis});
  }

  private execute(action: GuardAction): void {
    const attempt = this.context.attempts.getByKey(action.key);
    if (!attempt || this.callsInFlight.has(attempt.key)) return;
    if (attempt.phase !== AttemptPhase.RUNNING) return;
    if (action.type === GuardActionType.EVICT) {
      const {key} = attempt;
      const {reason} = action;
      this.context.logger.event(Events.TASK_EVICTED, {attempt: key, reason});
      const code = ResultCodes.TAIL_PROTECTED.number;
      this.stopper.stop(attempt, evictionIntent(reason, code));
      return;
    }
    this.callsInFlight.add(attempt.key);
    const call =
      action.type === GuardActionType.THROTTLE
        ? this.throttle(attempt, action.share, action.reason)
        : this.checkpoint(attempt);
    // After a failure the state is unchanged, so the next decision retries.
    void call
      .catch(() => undefined)
      .finally(() => this.callsInFlight.delete(attempt.key));
  }

  private async throttle(
    attempt: Attempt,
    share: number,
    reason: string,
  ): Promise<void> {
    const {clock, logger, worker} = this.context;
    const response = worker.throttle(attempt.taskId, share);
    const description = `throttle ${attempt.taskId}`;
    await withReplyDeadline(
      clock,
      response,
      THROTTLE_DEADLINE_MILLIS,
      description,
    );
    const isReduced = share < attempt.throttledShare;
    attempt.throttledShare = share;
    const type = isReduced ? Events.TASK_THROTTLED : Events.TASK_RELEASED;
    logger.event(type, {attempt: attempt.key, share, reason});
  }

  private async checkpoint(attempt: Attempt): Promise<void> {
    const {clock, logger, worker} = this.context;
    const response = worker.checkpoint(attempt.taskId);
    const description = `checkpoint ${attempt.taskId}`;
    try {
      attempt.checkpoint = await withReplyDeadline(
        clock,
        response,
        CHECKPOINT_DEADLINE_MILLIS,
        description,
      );
      attempt.checkpointedAt = clock.now();
    } catch (error) {
      logger.event(Events.CHECKPOINT_FAILED, {attempt: attempt.key});
      throw error;
    }
  }
}

function toGuardedTask(attempt: Attempt, now: number): GuardedTask {
  return {
    key: attempt.key,
    kind: attempt.kind,
    milliprocessors: attempt.size.milliprocessors,
    share: attempt.throttledShare,
    evictable: attempt.evictable,
    urgent: attempt.urgent,
    lostMillis: now - attempt.checkpointedAt,
  };
}

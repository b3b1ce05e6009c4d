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

/** Carries out at the worker what the tail policy decides. */
export class TailProtection {
  private nextDecisionAt = -Infinity;
  private missesTarget = false;
  /** Attempts with a call under way. */
  private readonly underWay = new Set<string>();

  constructor(
    private readonly context: AgentContext,
    private readonly service: string,
    private readonly policy: TailPolicy,
    private readonly stopper: AttemptStopper,
  ) {}

  observe(answer: ServiceAnswer, now: number): void {
    this.policy.observe(answer, now);
  }

  tailMillis(now: number): number {
    return this.policy.tailMillis(now);
  }

  samples(): InterferenceSample[] {
    const {service} = this;
    return this.policy
      .slowdowns()
      .map(({kind, slowdown}) => ({service, taskKind: kind, slowdown}));
  }

  /** Whether the service can bear the task beside it. */
  admits(newcomer: GuardedTask): boolean {
    return this.policy.admits(newcomer, this.view(this.context.clock.now()));
  }

  tick(now: number): void {
    if (now < this.nextDecisionAt) return;
    this.nextDecisionAt = now + DECISION_PERIOD_MILLIS;
    const view = this.view(now);
    if (view.milliprocessors === 0) return;
    this.noteTarget(view.targetMillis, now);
    for (const action of this.policy.decide(view, now)) this.carryOut(action);
  }

  private view(now: number): GuardView {
    const {attempts, ledger, settings} = this.context;
    const tasks: GuardedTask[] = [];
    for (const attempt of attempts.all()) {
      if (attempt.phase === AttemptPhase.ENDED) continue;
      tasks.push(guardedTask(attempt, now));
    }
    return {
      targetMillis: settings.service(this.service)?.targetTailMillis ?? 0,
      milliprocessors: ledger.capacity.milliprocessors,
      tasks,
    };
  }

  private noteTarget(targetMillis: number, now: number): void {
    const tailMillis = this.tailMillis(now);
    const misses = targetMillis > 0 && tailMillis > targetMillis;
    if (misses === this.missesTarget) return;
    this.missesTarget = misses;
    const type = misses ? Events.TAIL_TARGET_MISSED : Events.TAIL_TARGET_MET;
    const {service} = this;
    this.context.logger.event(type, {service, tailMillis, targetMillis});
  }

  private carryOut(action: GuardAction): void {
    const attempt = this.context.attempts.getByKey(action.key);
    if (!attempt || this.underWay.has(attempt.key)) return;
    if (attempt.phase !== AttemptPhase.RUNNING) return;
    if (action.type === GuardActionType.EVICT) {
      const {key} = attempt;
      const {reason} = action;
      this.context.logger.event(Events.TASK_EVICTED, {attempt: key, reason});
      const code = ResultCodes.TAIL_PROTECTED.number;
      this.stopper.stop(attempt, evictionIntent(reason, code));
      return;
    }
    this.underWay.add(attempt.key);
    const call =
      action.type === GuardActionType.THROTTLE
        ? this.throttle(attempt, action.share, action.reason)
        : this.checkpoint(attempt);
    // After a failure the next decision finds the same state and asks again.
    void call
      .catch(() => undefined)
      .finally(() => this.underWay.delete(attempt.key));
  }

  private async throttle(
    attempt: Attempt,
    share: number,
    reason: string,
  ): Promise<void> {
    const {clock, logger, worker} = this.context;
    const answer = worker.throttle(attempt.taskId, share);
    const what = `throttle ${attempt.taskId}`;
    await withReplyDeadline(clock, answer, THROTTLE_DEADLINE_MILLIS, what);
    const isLess = share < attempt.throttledShare;
    attempt.throttledShare = share;
    const type = isLess ? Events.TASK_THROTTLED : Events.TASK_RELEASED;
    logger.event(type, {attempt: attempt.key, share, reason});
  }

  private async checkpoint(attempt: Attempt): Promise<void> {
    const {clock, logger, worker} = this.context;
    const answer = worker.checkpoint(attempt.taskId);
    const what = `checkpoint ${attempt.taskId}`;
    try {
      attempt.checkpoint = await withReplyDeadline(
        clock,
        answer,
        CHECKPOINT_DEADLINE_MILLIS,
        what,
      );
      attempt.checkpointedAt = clock.now();
    } catch (error) {
      logger.event(Events.CHECKPOINT_FAILED, {attempt: attempt.key});
      throw error;
    }
  }
}

function guardedTask(attempt: Attempt, now: number): GuardedTask {
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

import {ResponseWindow} from './response_window.js';
import {InterferenceEstimator} from './interference_estimator.js';
import type {ServiceTimes} from './interference_estimator.js';
import {allocateShares, nextShare} from './share_allocation.js';
import type {WeighedTask} from './share_allocation.js';
import {SlowdownBudget} from './slowdown_budget.js';
import {GuardActionType} from './tail_policy.js';
import type {
  GuardAction,
  GuardedTask,
  GuardView,
  KindSlowdown,
  ServiceAnswer,
  TailPolicy,
} from './tail_policy.js';

/** Multiple of its standard deviation that is added to an effect. */
const CAUTION = 0.25;

/** Share of the budget used to raise shares; the rest is hysteresis. */
const RAISE_BUDGET_SHARE = 0.85;

/** Minimum time from a change of a task's share to its raise by a step. */
const RAISE_PERIOD_MILLIS = 2_000;

/** A task of a known kind is admitted if it gets at least this share. */
const ADMIT_SHARE = 0.5;
const KNOWN_DEVIATION = 0.5;

/** A task limited to this share for this long should run elsewhere. */
const EVICT_SHARE = 0.35;
const EVICT_AFTER_MILLIS = 3_000;

/** Checkpoints are taken earlier, so that an eviction has little to save. */
const CHECKPOINT_AFTER_MILLIS = 1_000;

/** A more recent checkpoint is not repeated before an eviction. */
const RECENT_CHECKPOINT_MILLIS = 5_000;

/** A larger change of the slowdown invalidates the measured tail. */
const SIGNIFICANT_CHANGE = 0.05;

/** Time after such a change until responses begun before it have ended. */
const SETTLE_MILLIS = 1_000;

/** A service without responses for this long needs no protection. */
const IDLE_MILLIS = 10_000;

const MINIMUM_SERVICE_MILLIS = 0.01;

/**
 * Protects a service's tail latency: keeps the estimated slowdown by tasks on
 * the same VM within a budget, which follows the measured tail latency. Tasks
 * are throttled first; if that is not enough, the most harmful one is
 * checkpointed and then evicted.
 */
export class TailGuard implements TailPolicy {
  /** Responses for reports, and those since the last significant change. */
  private readonly window = new ResponseWindow();
  private readonly settled = new ResponseWindow();
  private readonly estimator = new InterferenceEstimator();
  private readonly budget = new SlowdownBudget();
  private readonly raisedAt = new Map<string, number>();
  /** Time since which each task has been at or below the eviction share. */
  private readonly throttledSince = new Map<string, number>();
  private readonly loadPerTask = new Map<string, number>();
  private sumOfLogs = 0;
  private sumOfSquares = 0;
  private answers = 0;
  private loads = new Map<string, number>();
  private decidedAt: number | undefined;
  private evictedAt = -Infinity;
  private settledAt = -Infinity;
  private answeredAt = -Infinity;
  private idle = false;
  /** Estimated increase of log service time after the last decision. */
  private slowdown = 0;

  observe({answerMillis, serviceMillis}: ServiceAnswer, now: number): void {
    this.window.observe(answerMillis, now);
    this.answeredAt = now;
    this.idle = false;
    if (now >= this.settledAt) this.settled.observe(answerMillis, now);
    const log = Math.log(Math.max(serviceMillis, MINIMUM_SERVICE_MILLIS));
    this.sumOfLogs += log;
    this.sumOfSquares += log * log;
    this.answers += 1;
  }

  tailMillis(now: number): number {
    return this.window.tailMillis(now);
  }

  slowdowns(): KindSlowdown[] {
    const slowdowns: KindSlowdown[] = [];
    for (const [kind, load] of this.loadPerTask) {
      const slowdown = Math.exp(this.estimator.effect(kind) * load);
      slowdowns.push({kind, slowdown});
    }
    return slowdowns;
  }

  admits(newcomer: GuardedTask, view: GuardView): boolean {
    if (view.targetMillis <= 0 || newcomer.urgent) return true;
    // The effect of an unknown kind can only be learned by running it.
    if (this.estimator.deviation(newcomer.kind) > KNOWN_DEVIATION) return true;
    const tasks = this.weigh({...view, tasks: [...view.tasks, newcomer]});
    const shares = allocateShares(tasks, this.allowedSlowdown);
    return (shares.get(newcomer.key) ?? 1) >= ADMIT_SHARE;
  }

  decide(view: GuardView, now: number): GuardAction[] {
    this.idle = now - this.answeredAt > IDLE_MILLIS;
    this.learn(view, now);
    const tasks = this.weigh(view);
    const slowdown = slowdownOf(tasks);
    const {targetMillis} = view;
    if (slowdown - this.slowdown > SIGNIFICANT_CHANGE) this.settle(now);
    const tailMillis = this.settled.tailMillis(now);
    const answers = this.settled.count;
    const {varianceOfLog} = this.estimator;
    this.budget.update({
      tailMillis,
      answers,
      varianceOfLog,
      targetMillis,
      slowdown,
    });
    const actions = this.share(tasks, now);
    const evictions = this.evict(tasks, now);
    const changed = withShares(view.tasks, actions);
    this.loads = loadsOf({...view, tasks: changed});
    const after = slowdownOf(this.weigh({...view, tasks: changed}));
    if (slowdown - after > SIGNIFICANT_CHANGE) this.settle(now);
    this.slowdown = after;
    this.forgetEndedTasks(view.tasks);
    return [...actions, ...evictions];
  }

  /** Restarts the measurement of the tail once the change has taken effect. */
  private settle(now: number): void {
    this.settledAt = now + SETTLE_MILLIS;
    this.settled.clear();
  }

  /** Unlimited while idle; the learned budget is kept for later requests. */
  private get allowedSlowdown(): number {
    return this.idle ? Infinity : this.budget.slowdown;
  }

  private learn(view: GuardView, now: number): void {
    const loads = loadsOf(view);
    const elapsedMillis = now - (this.decidedAt ?? now);
    this.decidedAt = now;
    for (const task of view.tasks) {
      const load = task.milliprocessors / view.milliprocessors;
      this.loadPerTask.set(task.kind, load);
    }
    const period = {first: this.loads, last: loads};
    this.estimator.observe(this.takeServiceTimes(), period, elapsedMillis);
  }

  /** Returns and resets the statistics since the last call. */
  private takeServiceTimes(): ServiceTimes {
    const count = this.answers;
    const divisor = Math.max(1, count);
    const meanLog = this.sumOfLogs / divisor;
    const varianceOfLog = this.sumOfSquares / divisor - meanLog * meanLog;
    this.sumOfLogs = 0;
    this.sumOfSquares = 0;
    this.answers = 0;
    return {count, meanLog, varianceOfLog};
  }

  private weigh(view: GuardView): WeighedTask[] {
    const weighed: WeighedTask[] = [];
    for (const task of view.tasks) {
      const load = task.milliprocessors / view.milliprocessors;
      const {kind} = task;
      const caution = CAUTION * this.estimator.deviation(kind);
      const effect = this.estimator.effect(kind) + caution;
      weighed.push({task, effect, fullSlowdown: effect * load});
    }
    return weighed;
  }

  private share(tasks: readonly WeighedTask[], now: number): GuardAction[] {
    const slowdown = this.allowedSlowdown;
    const largest = allocateShares(tasks, slowdown);
    const safe = allocateShares(tasks, RAISE_BUDGET_SHARE * slowdown);
    const actions: GuardAction[] = [];
    for (const {task} of tasks) {
      const limit = largest.get(task.key) ?? 1;
      if (limit < task.share) {
        this.raisedAt.set(task.key, now);
        actions.push(
          throttle(task, limit, 'the tasks exceed the slowdown budget'),
        );
        continue;
      }
      const wanted = safe.get(task.key) ?? 1;
      if (wanted <= task.share || !this.mayRaise(task, now)) continue;
      this.raisedAt.set(task.key, now);
      const raised = Math.min(wanted, nextShare(task.share));
      actions.push(throttle(task, raised, 'the service meets its target'));
    }
    return actions;
  }

  private mayRaise(task: GuardedTask, now: number): boolean {
    const raisedAt = this.raisedAt.get(task.key) ?? -Infinity;
    return now - raisedAt >= RAISE_PERIOD_MILLIS;
  }

  /** Checkpoints, then evicts, the most harmful task, one at a time. */
  private evict(tasks: readonly WeighedTask[], now: number): GuardAction[] {
    if (this.idle) this.throttledSince.clear();
    if (this.idle) return [];
    for (const {task} of tasks) this.recordShare(task, now);
    const reason = 'throttling was not enough for the service';
    const actions: GuardAction[] = [];
    const stale = mostHarmful(
      tasks.filter(each => this.needsCheckpoint(each, now)),
    );
    // If this checkpoint fails, the eviction takes one itself.
    if (stale) {
      const {key} = stale.task;
      actions.push({type: GuardActionType.CHECKPOINT, key, reason});
    }
    // The effect of an eviction must be measurable before the next one.
    if (now - this.evictedAt < EVICT_AFTER_MILLIS) return actions;
    const worst = mostHarmful(tasks.filter(each => this.mayEvict(each, now)));
    if (!worst) return actions;
    this.evictedAt = now;
    actions.push({type: GuardActionType.EVICT, key: worst.task.key, reason});
    return actions;
  }

  private needsCheckpoint({task}: WeighedTask, now: number): boolean {
    if (!task.evictable || task.urgent) return false;
    if (task.lostMillis <= RECENT_CHECKPOINT_MILLIS) return false;
    const since = this.throttledSince.get(task.key);
    return since !== undefined && now - since >= CHECKPOINT_AFTER_MILLIS;
  }

  private recordShare({key, share}: GuardedTask, now: number): void {
    if (share > EVICT_SHARE) this.throttledSince.delete(key);
    else if (!this.throttledSince.has(key)) this.throttledSince.set(key, now);
  }

  private mayEvict({task}: WeighedTask, now: number): boolean {
    if (!task.evictable || task.urgent) return false;
    const since = this.throttledSince.get(task.key);
    return since !== undefined && now - since >= EVICT_AFTER_MILLIS;
  }

  private forgetEndedTasks(tasks: readonly GuardedTask[]): void {
    const keys = new Set(tasks.map(task => task.key));
    for (const times of [this.raisedAt, this.throttledSince]) {
      for (const key of times.keys()) if (!keys.has(key)) times.delete(key);
    }
  }
}

function throttle(
  {key}: GuardedTask,
  share: number,
  reason: string,
): GuardAction {
  return {type: GuardActionType.THROTTLE, key, share, reason};
}

/** Returns the task that causes the largest slowdown at its full share. */
function mostHarmful(tasks: readonly WeighedTask[]): WeighedTask | undefined {
  let worst: WeighedTask | undefined;
  for (const weighed of tasks) {
    if (!worst || weighed.fullSlowdown > worst.fullSlowdown) worst = weighed;
  }
  return worst;
}

/** Returns the estimated increase of log service time by the tasks. */
function slowdownOf(tasks: readonly WeighedTask[]): number {
  let slowdown = 0;
  for (const {task, fullSlowdown} of tasks) {
    slowdown += task.share * fullSlowdown;
  }
  return slowdown;
}

function loadsOf(view: GuardView): Map<string, number> {
  const loads = new Map<string, number>();
  for (const {kind, milliprocessors, share} of view.tasks) {
    const load = (share * milliprocessors) / view.milliprocessors;
    loads.set(kind, (loads.get(kind) ?? 0) + load);
  }
  return loads;
}

function withShares(
  tasks: readonly GuardedTask[],
  actions: readonly GuardAction[],
): GuardedTask[] {
  const shares = new Map<string, number>();
  for (const action of actions) {
    if (action.type !== GuardActionType.THROTTLE) continue;
    shares.set(action.key, action.share);
  }
  return tasks.map(task => ({
    ...task,
    share: shares.get(task.key) ?? task.share,
  }));
}

import {AnswerWindow} from './answer_window.js';
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

/** Part of its deviation by which an effect is taken to be larger. */
const CAUTION = 0.25;

/** Part of the budget that decides on larger shares: the rest is hysteresis. */
const RAISE_PART = 0.85;

/** A task's share grows by one step at most in this time. */
const RAISE_PERIOD_MILLIS = 2_000;

/** A task of a known kind is admitted if it may use at least so much. */
const ADMIT_SHARE = 0.5;
const KNOWN_DEVIATION = 0.5;

/** A task that may use no more for so long had better run elsewhere. */
const EVICT_SHARE = 0.35;
const EVICT_AFTER_MILLIS = 3_000;

/** It is checkpointed earlier, so that its eviction finds little to keep. */
const CHECKPOINT_AFTER_MILLIS = 1_000;

/** A checkpoint this recent need not be taken again before an eviction. */
const RECENT_CHECKPOINT_MILLIS = 5_000;

/** A smaller change of the slowdown leaves the measured tail valid. */
const NOTABLE_CHANGE = 0.05;

/** Time for answers that a larger change came too late for to leave. */
const SETTLE_MILLIS = 1_000;

/** A service that answered nothing for so long has no tail to protect. */
const IDLE_MILLIS = 10_000;

const LEAST_SERVICE_MILLIS = 0.01;

/**
 * Protects a service's tail: keeps the slowdown that its neighbours are known
 * to cause within a budget, which follows the measured tail. Tasks are
 * throttled first; while that is not enough, the one that does most harm is
 * checkpointed and then evicted.
 */
export class TailGuard implements TailPolicy {
  /** Answers for the reports, and those since the last notable change. */
  private readonly window = new AnswerWindow();
  private readonly settled = new AnswerWindow();
  private readonly estimator = new InterferenceEstimator();
  private readonly budget = new SlowdownBudget();
  private readonly raisedAt = new Map<string, number>();
  /** Since when tasks have had so small a share that they may be evicted. */
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
  /** After the last decision, as the logarithm of service times. */
  private slowdown = 0;

  observe({answerMillis, serviceMillis}: ServiceAnswer, now: number): void {
    this.window.observe(answerMillis, now);
    this.answeredAt = now;
    this.idle = false;
    if (now >= this.settledAt) this.settled.observe(answerMillis, now);
    const log = Math.log(Math.max(serviceMillis, LEAST_SERVICE_MILLIS));
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
    // Kinds become known only by running.
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
    if (slowdown - this.slowdown > NOTABLE_CHANGE) this.settle(now);
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
    if (slowdown - after > NOTABLE_CHANGE) this.settle(now);
    this.slowdown = after;
    this.forgetGone(view.tasks);
    return [...actions, ...evictions];
  }

  /** Waits for the tail to show what the change brought. */
  private settle(now: number): void {
    this.settledAt = now + SETTLE_MILLIS;
    this.settled.clear();
  }

  /** The budget stays as learned for when requests come again. */
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

  /** What was observed since the last call. */
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
    const safe = allocateShares(tasks, RAISE_PART * slowdown);
    const actions: GuardAction[] = [];
    for (const {task} of tasks) {
      const limit = largest.get(task.key) ?? 1;
      if (limit < task.share) {
        this.raisedAt.set(task.key, now);
        actions.push(throttle(task, limit, 'the service needs its answers'));
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
    for (const {task} of tasks) this.noteShare(task, now);
    const reason = 'throttling was not enough for the service';
    const actions: GuardAction[] = [];
    const stale = mostHarmful(
      tasks.filter(each => this.needsCheckpoint(each, now)),
    );
    // Evicting takes a checkpoint itself where this one fails.
    if (stale) {
      const {key} = stale.task;
      actions.push({type: GuardActionType.CHECKPOINT, key, reason});
    }
    // What one eviction brings has to show before the next.
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

  private noteShare({key, share}: GuardedTask, now: number): void {
    if (share > EVICT_SHARE) this.throttledSince.delete(key);
    else if (!this.throttledSince.has(key)) this.throttledSince.set(key, now);
  }

  private mayEvict({task}: WeighedTask, now: number): boolean {
    if (!task.evictable || task.urgent) return false;
    const since = this.throttledSince.get(task.key);
    return since !== undefined && now - since >= EVICT_AFTER_MILLIS;
  }

  private forgetGone(tasks: readonly GuardedTask[]): void {
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

/** The task that would harm most at its full share. */
function mostHarmful(tasks: readonly WeighedTask[]): WeighedTask | undefined {
  let worst: WeighedTask | undefined;
  for (const weighed of tasks) {
    if (!worst || weighed.fullSlowdown > worst.fullSlowdown) worst = weighed;
  }
  return worst;
}

/** What the tasks are taken to add to the logarithm of service times. */
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

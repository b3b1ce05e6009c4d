import {GuardActionType} from '../../src/decisions/eviction/tail_policy.js';
import type {
  GuardAction,
  GuardedTask,
  TailPolicy,
} from '../../src/decisions/eviction/tail_policy.js';
import {Random} from '../../src/utilities/random.js';

const PERIOD_MILLIS = 500;
const ANSWERS_PER_PERIOD = 60;
const VM_MILLIPROCESSORS = 16_000;

/** Simulates a service whose responses are slowed down by kinds of tasks. */
export class ServiceModel {
  readonly tasks = new Map<string, GuardedTask>();
  readonly actions: GuardAction[] = [];
  now = 0;
  answersPerPeriod = ANSWERS_PER_PERIOD;
  private readonly random = new Random(7);

  constructor(
    private readonly policy: TailPolicy,
    /** Increase of log service time at full load, by kind. */
    private readonly effects: Readonly<Record<string, number>>,
    private readonly targetMillis: number,
  ) {}

  add(key: string, kind: string, changes: Partial<GuardedTask> = {}): void {
    this.tasks.set(key, {
      key,
      kind,
      milliprocessors: 4_000,
      share: 1,
      evictable: true,
      urgent: false,
      lostMillis: 60_000,
      ...changes,
    });
  }

  shareOf(key: string): number | undefined {
    return this.tasks.get(key)?.share;
  }

  pass(millis: number): void {
    const endsAt = this.now + millis;
    while (this.now < endsAt) this.step();
  }

  private step(): void {
    const slowdown = Math.exp(this.slowdown());
    for (let answer = 0; answer < this.answersPerPeriod; answer++) {
      const millis = this.random.lognormal(20, 0.3) * slowdown;
      const times = {answerMillis: millis, serviceMillis: millis};
      this.policy.observe(times, this.now);
    }
    this.now += PERIOD_MILLIS;
    const view = {
      targetMillis: this.targetMillis,
      milliprocessors: VM_MILLIPROCESSORS,
      tasks: [...this.tasks.values()],
    };
    const actions = this.policy.decide(view, this.now);
    for (const action of actions) this.carryOut(action);
  }

  private slowdown(): number {
    let slowdown = 0;
    for (const {kind, share, milliprocessors} of this.tasks.values()) {
      const load = (share * milliprocessors) / VM_MILLIPROCESSORS;
      slowdown += (this.effects[kind] ?? 0) * load;
    }
    return slowdown;
  }

  private carryOut(action: GuardAction): void {
    this.actions.push(action);
    const task = this.tasks.get(action.key)!;
    if (action.type === GuardActionType.THROTTLE) {
      this.tasks.set(action.key, {...task, share: action.share});
    } else if (action.type === GuardActionType.CHECKPOINT) {
      this.tasks.set(action.key, {...task, lostMillis: 0});
    } else {
      this.tasks.delete(action.key);
    }
  }
}

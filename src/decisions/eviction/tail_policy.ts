/** Types of the policy that protects a service from tasks on its VM. */

/** One response of the service. */
export interface ServiceAnswer {
  /** Time from arrival at the agent to the response. */
  readonly answerMillis: number;
  /** Time of it that was spent in the executor. */
  readonly serviceMillis: number;
}

/** A task on the same VM that may be throttled or evicted. */
export interface GuardedTask {
  readonly key: string;
  readonly kind: string;
  readonly milliprocessors: number;
  /** Share of its processors that the task may use now. */
  readonly share: number;
  readonly evictable: boolean;
  readonly urgent: boolean;
  /** Run time since the last checkpoint. */
  readonly lostMillis: number;
}

export interface GuardView {
  /** Target of the service's 99th percentile; 0 if there is none. */
  readonly targetMillis: number;
  /** The VM's processors. */
  readonly milliprocessors: number;
  readonly tasks: readonly GuardedTask[];
}

export const GuardActionType = {
  THROTTLE: 'throttle',
  CHECKPOINT: 'checkpoint',
  EVICT: 'evict',
} as const;

export type GuardAction =
  | {
      readonly type: typeof GuardActionType.THROTTLE;
      readonly key: string;
      readonly share: number;
      readonly reason: string;
    }
  | {
      readonly type:
        typeof GuardActionType.CHECKPOINT | typeof GuardActionType.EVICT;
      readonly key: string;
      readonly reason: string;
    };

/** Slowdown of the service by one task of a kind; 1 means none. */
export interface KindSlowdown {
  readonly kind: string;
  readonly slowdown: number;
}

/** Decides which tasks to throttle, checkpoint or evict to meet a target. */
export interface TailPolicy {
  observe(answer: ServiceAnswer, now: number): void;
  /** Returns the service's current 99th percentile; 0 while unknown. */
  tailMillis(now: number): number;
  /** True if the new task may start beside the tasks of the view. */
  admits(newcomer: GuardedTask, view: GuardView): boolean;
  /** Called periodically. */
  decide(view: GuardView, now: number): GuardAction[];
  slowdowns(): KindSlowdown[];
}

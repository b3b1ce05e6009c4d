/** What protects a service from the tasks beside it. */

/** One answer of the service. */
export interface ServiceAnswer {
  /** From arrival at the agent to the answer. */
  readonly answerMillis: number;
  /** The part of it that the executor took. */
  readonly serviceMillis: number;
}

/** A task beside the service, as far as it may be slowed or evicted. */
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
  /** Target of the service's 99th percentile; 0 is none. */
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

/** Slowdown of the service beside one task of a kind: 1 is none. */
export interface KindSlowdown {
  readonly kind: string;
  readonly slowdown: number;
}

/** Decides what to do to tasks so that a service meets its target. */
export interface TailPolicy {
  observe(answer: ServiceAnswer, now: number): void;
  /** The service's 99th percentile now, in milliseconds; 0 while unknown. */
  tailMillis(now: number): number;
  /** Whether the newcomer may start beside the tasks of the view. */
  admits(newcomer: GuardedTask, view: GuardView): boolean;
  /** Called at a steady period. */
  decide(view: GuardView, now: number): GuardAction[];
  slowdowns(): KindSlowdown[];
}

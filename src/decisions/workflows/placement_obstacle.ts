/** Why a task may not be placed on a worker. */
export const PlacementObstacle = {
  /** The worker belongs to another service. */
  SERVICE: 'service',
  /** It is in a cooldown after failures, or on trial with a task already. */
  COOLDOWN: 'cooldown',
  LABEL: 'label',
  /** The limit of tasks of the step on one worker is reached. */
  SPREAD: 'spread',
  CAPACITY: 'capacity',
  /** Too few processors are unused for a best-effort task. */
  UNUSED_PROCESSORS: 'unused_processors',
  /** The task would raise a tail latency beside it too far. */
  TAIL: 'tail',
  RESERVATION: 'reservation',
  DRAIN: 'drain',
  EVACUATION: 'evacuation',
  /** Its last message or response is too old, or it has sent no run list. */
  SILENCE: 'silence',
  /** No agent is attached for this incarnation of the worker. */
  DETACHED: 'detached',
} as const;
export type PlacementObstacle =
  (typeof PlacementObstacle)[keyof typeof PlacementObstacle];

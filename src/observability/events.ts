/**
 * The numbered events that processes log. docs/EVENTS.md lists them; a test
 * compares both.
 */
export const EventLevel = {
  DEBUG: 'debug',
  INFO: 'info',
  WARNING: 'warn',
  /** Someone should look at it by day; nothing is broken for callers. */
  ERROR: 'error',
} as const;
export type EventLevel = (typeof EventLevel)[keyof typeof EventLevel];

export interface EventType {
  readonly number: number;
  readonly level: EventLevel;
  readonly meaning: string;
}

function event(number: number, level: EventLevel, meaning: string): EventType {
  return {number, level, meaning};
}

export const Events = {
  // 1xxx: any process.
  PROCESS_STARTED: event(1000, 'info', 'The process is up and serves.'),
  PROCESS_STOPPING: event(1001, 'info', 'A graceful shutdown has begun.'),
  PROCESS_STOPPED: event(1002, 'info', 'The process has shut down.'),
  SETTINGS_APPLIED: event(
    1003,
    'info',
    'A newer text of a settings branch is in force here.',
  ),
  SETTINGS_REJECTED: event(
    1004,
    'error',
    'A settings text from the store or a peer has faults; the last one stays.',
  ),
  UNEXPECTED_FAULT: event(
    1005,
    'error',
    'An unexpected error was caught; the process goes on.',
  ),
  // 2xxx: entries.
  // 3xxx: shards and jobs.
  // 4xxx: agents.
  WORKER_SILENT: event(
    4000,
    'error',
    'The worker gives no answer; nothing starts on this VM until it does.',
  ),
  WORKER_BACK: event(4001, 'info', 'The worker answers again.'),
  WORKER_RECOVERED: event(
    4002,
    'info',
    'The agent has read what its worker runs, and admits work.',
  ),
  ATTEMPT_STARTED: event(4010, 'info', 'The worker runs a task attempt.'),
  ATTEMPT_REFUSED: event(4011, 'info', 'A start was refused; it did not run.'),
  ATTEMPT_START_UNKNOWN: event(
    4012,
    'warn',
    'The worker did not answer a start; its size stays reserved.',
  ),
  ATTEMPT_ENDED: event(4013, 'info', 'A task attempt has ended here.'),
  ATTEMPT_LAPSED: event(
    4014,
    'warn',
    'The lease of a task attempt ended; the task is stopped.',
  ),
  ATTEMPT_EVICTED: event(
    4015,
    'info',
    'A task is checkpointed and stopped to free the VM.',
  ),
  ATTEMPT_THROTTLED: event(
    4016,
    'info',
    'The share of processors that a task may use was changed.',
  ),
  ENTRY_SILENT: event(
    4020,
    'warn',
    'An entry left two heartbeats unanswered; the connection is replaced.',
  ),
  ENTRY_HEARD: event(4021, 'info', 'An entry answers again.'),
  EXECUTOR_UNAVAILABLE: event(
    4030,
    'error',
    'The executor fails its probes; its requests are refused.',
  ),
  EXECUTOR_AVAILABLE: event(4031, 'info', 'The executor answers again.'),
  // 5xxx: the store.
} as const;

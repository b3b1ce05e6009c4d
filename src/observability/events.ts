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
  // 5xxx: the store.
} as const;

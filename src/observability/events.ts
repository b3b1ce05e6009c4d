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
  SETTINGS_FILE_REJECTED: event(
    1006,
    'error',
    'The settings file has faults; the process exits with status 2.',
  ),
  LINK_SILENT: event(
    1007,
    'warn',
    'An open connection to another process stayed silent and was replaced.',
  ),
  LINK_LOST: event(
    1008,
    'warn',
    "Another process can't be reached on new connections either.",
  ),
  LINK_BACK: event(1009, 'info', 'Another process can be reached again.'),
  SHUTDOWN_OVERDUE: event(
    1010,
    'error',
    'Work was left when the time for a graceful shutdown was up.',
  ),
  LOOP_DELAYED: event(
    1011,
    'warn',
    'The process was paused or overloaded: its timers ran late.',
  ),
  // 2xxx: entries.
  ENTRY_REGISTERED: event(
    2000,
    'info',
    'The entry stands in the store under its lease.',
  ),
  ENTRY_LEASE_LOST: event(
    2001,
    'error',
    "The entry's lease on the store lapsed; it drops its shards and registers anew.",
  ),
  UPSTREAM_JOINED: event(2002, 'info', 'An agent has announced itself.'),
  UPSTREAM_DRAINING: event(
    2003,
    'info',
    'An upstream shuts down gracefully and gets no new requests.',
  ),
  UPSTREAM_LOST: event(
    2004,
    'warn',
    "An agent's heartbeats have stopped; it gets no new requests.",
  ),
  UPSTREAM_EJECTED: event(
    2005,
    'warn',
    'An upstream that fails or lags gets no requests but probes.',
  ),
  UPSTREAM_RETURNED: event(
    2006,
    'info',
    'An ejected or lost upstream gets requests again.',
  ),
  EJECTION_HELD_BACK: event(
    2007,
    'error',
    'An upstream should be ejected, but as many as may be are out already.',
  ),
  SERVICE_WITHOUT_UPSTREAM: event(
    2008,
    'error',
    'A service has no upstream that takes requests.',
  ),
  SERVICE_SERVED_AGAIN: event(
    2009,
    'info',
    'A service that had no upstream has one again.',
  ),
  OVERLOAD_BEGAN: event(
    2010,
    'warn',
    "A service's requests are refused because the wait would pass their deadlines.",
  ),
  OVERLOAD_ENDED: event(
    2011,
    'info',
    "A service's requests are admitted again.",
  ),
  RETRY_BUDGET_SPENT: event(
    2012,
    'warn',
    "A service's retries and hedges have used up their budget.",
  ),
  ANSWER_DISCARDED: event(
    2013,
    'warn',
    'An answer came late or for another request and was not passed on.',
  ),
  SETTINGS_CHANGED: event(
    2014,
    'info',
    "An operator's change of a settings branch was accepted here.",
  ),
  SETTINGS_CONFLICT: event(
    2015,
    'info',
    "An operator's change was refused: the branch had changed since.",
  ),
  PROCESS_SETTINGS_LAG: event(
    2016,
    'error',
    'A process has not applied the settings in the expected time.',
  ),
  PROCESS_SETTINGS_CAUGHT_UP: event(
    2017,
    'info',
    'A process that lagged has the settings again.',
  ),
  SETTINGS_FROM_PEER: event(
    2018,
    'warn',
    'The store was silent at the start; the settings came from a peer or an agent.',
  ),
  PEER_LOST: event(2019, 'warn', "Another entry doesn't answer."),
  PEER_BACK: event(2020, 'info', 'Another entry answers again.'),
  FAILURE_DOMAIN_OUT: event(
    2021,
    'warn',
    'Operators have taken a failure domain out of service.',
  ),
  FAILURE_DOMAIN_IN: event(
    2022,
    'info',
    'Operators have brought a failure domain back.',
  ),
  VM_DRAINED: event(2023, 'info', 'Operators drain a VM.'),
  VM_UNDRAINED: event(2024, 'info', 'Operators have ended the drain of a VM.'),
  REGISTRATION_FAILED: event(
    2050,
    'warn',
    'The entry could not register in the store; it tries again.',
  ),
  // 3xxx: shards and jobs.
  SHARD_TAKEN_OVER: event(
    3000,
    'info',
    'This entry owns a shard and has replayed its log.',
  ),
  SHARD_HANDED_OVER: event(
    3001,
    'info',
    'This entry gave a shard up in a graceful shutdown or to balance.',
  ),
  SHARD_LOST: event(
    3002,
    'warn',
    'Another entry owns the shard now; this one has dropped it.',
  ),
  SHARD_UNOWNED: event(
    3003,
    'error',
    'A shard has had no owner for longer than a take-over should last.',
  ),
  SHARD_REPLAY_FAILED: event(
    3004,
    'error',
    "A shard's snapshot or log can't be read; its jobs stand still.",
  ),
  APPEND_UNKNOWN: event(
    3005,
    'warn',
    "The store didn't say whether an append was made; the key is read again.",
  ),
  APPEND_DELAYED: event(
    3006,
    'warn',
    "Appends to a shard's log take long; its starts wait for them.",
  ),
  SNAPSHOT_WRITTEN: event(
    3007,
    'debug',
    "A shard's log was folded into its snapshot.",
  ),
  JOB_SUBMITTED: event(3008, 'debug', 'A job was accepted.'),
  JOB_FINISHED: event(3009, 'debug', 'All tasks of a job have finished.'),
  JOB_FAILED: event(
    3010,
    'warn',
    'A task of a job has failed as often as it may.',
  ),
  JOB_CANCELLED: event(
    3011,
    'info',
    'A job was cancelled or a watcher closed.',
  ),
  JOB_IMPOSSIBLE: event(
    3012,
    'warn',
    'A job can never run: no VM or quota is large enough for it.',
  ),
  TASK_PLACED: event(3013, 'debug', 'A task attempt was recorded for a VM.'),
  TASK_LOST: event(
    3014,
    'warn',
    'An attempt may have begun and has ended with its result unknown.',
  ),
  TASK_HELD: event(
    3015,
    'error',
    'A task that may not run twice was lost; it waits for an operator.',
  ),
  START_REFUSED: event(
    3016,
    'info',
    'An agent refused the start of a task attempt; it did not run.',
  ),
  TASK_BACKED_OFF: event(
    3017,
    'info',
    'A task that keeps failing waits before its next attempt.',
  ),
  VM_QUARANTINED: event(
    3018,
    'error',
    'A VM fails what succeeds elsewhere and gets probes only.',
  ),
  VM_RELEASED: event(
    3019,
    'info',
    'A VM has passed its probes and is out of quarantine.',
  ),
  VM_UNREACHABLE: event(
    3020,
    'warn',
    'A VM with attempts of this shard has been silent for long.',
  ),
  VM_GIVEN_UP: event(
    3021,
    'warn',
    'A VM was silent until its task leases lapsed; its attempts are closed.',
  ),
  QUOTA_EXHAUSTED: event(
    3022,
    'info',
    "A team's tasks wait because its quota is used up.",
  ),
  PLACEMENT_STALLED: event(
    3023,
    'warn',
    'Tasks wait although quotas allow them: no VM has room.',
  ),
  URGENT_START_LATE: event(
    3024,
    'warn',
    'An urgent task has waited longer than its target.',
  ),
  AGENT_CALL_FAILED: event(
    3050,
    'debug',
    'A call about task attempts brought no reply; it is made again.',
  ),
  SNAPSHOT_FAILED: event(
    3051,
    'warn',
    "A shard's snapshot was not written; the next commit tries again.",
  ),
  HAND_OVER_FAILED: event(
    3052,
    'warn',
    'A shard could not be released in the store; its lease has to lapse.',
  ),
  // 4xxx: agents.
  ENTRIES_FOUND: event(4000, 'info', 'The agent hears from an entry.'),
  ENTRIES_LOST: event(4001, 'error', 'No entry answers the agent.'),
  TASK_STARTED: event(4002, 'debug', 'The worker started a task attempt.'),
  TASK_ENDED: event(4003, 'debug', 'A task attempt has ended.'),
  TASK_START_REFUSED: event(
    4004,
    'info',
    'The agent refused a start; it did not run.',
  ),
  TASK_LEASE_LAPSED: event(
    4005,
    'warn',
    'A task was stopped because its lease lapsed.',
  ),
  TASK_THROTTLED: event(
    4006,
    'info',
    "A batch task's processors were cut to protect a service.",
  ),
  TASK_RELEASED: event(
    4007,
    'info',
    'A throttled task has its processors back.',
  ),
  TASK_EVICTED: event(
    4008,
    'info',
    'A task was stopped with a checkpoint to protect a service or free the VM.',
  ),
  CHECKPOINT_FAILED: event(
    4009,
    'warn',
    'The worker took no checkpoint; the task goes on from an earlier one.',
  ),
  WORKER_LOST: event(
    4010,
    'error',
    "The worker doesn't answer; nothing starts on the VM.",
  ),
  WORKER_BACK: event(
    4011,
    'info',
    'The worker answers again and its tasks are known.',
  ),
  TASK_UNKNOWN_STOPPED: event(
    4012,
    'warn',
    'The worker ran a task that no record explains; it was stopped.',
  ),
  EXECUTOR_LOST: event(
    4013,
    'error',
    "The executor can't be reached; the VM takes no service requests.",
  ),
  EXECUTOR_BACK: event(4014, 'info', 'The executor can be reached again.'),
  EXECUTOR_CONNECTION_SILENT: event(
    4015,
    'warn',
    'A connection to the executor stayed silent and was closed for good.',
  ),
  SETTINGS_STALE: event(
    4016,
    'warn',
    'The settings have not been confirmed lately; no task starts here.',
  ),
  SETTINGS_FRESH: event(
    4017,
    'info',
    'The settings are confirmed again; tasks may start.',
  ),
  VM_OVERCOMMITTED: event(
    4018,
    'error',
    "The worker runs more than the VM's size; nothing starts until that ends.",
  ),
  TASK_STOPPED_FOR_DRAIN: event(
    4019,
    'info',
    'A task was stopped with a checkpoint because its VM or failure domain is out.',
  ),
  TAIL_TARGET_MISSED: event(
    4020,
    'warn',
    'The service beside the tasks misses its tail target.',
  ),
  TAIL_TARGET_MET: event(
    4021,
    'info',
    'The service meets its tail target again.',
  ),
  TASK_START_UNKNOWN: event(
    4022,
    'warn',
    'The worker did not answer a start; the size stays reserved until it is known.',
  ),
  ENTRY_CONNECTION_SILENT: event(
    4023,
    'warn',
    'An entry left two heartbeats unanswered; the connection was replaced.',
  ),
  ENTRY_CONNECTION_BACK: event(4024, 'info', 'The entry answers again.'),
  // 5xxx: the store.
  STORE_UNREACHABLE: event(
    5000,
    'error',
    "The platform's store doesn't answer.",
  ),
  STORE_BACK: event(5001, 'info', 'The store answers again.'),
  STORE_SLOW: event(5002, 'warn', "The store's replies take long."),
  STORE_BUDGET_SPENT: event(
    5003,
    'warn',
    'Calls to the store wait for the budget of this process.',
  ),
  STORE_WRITE_UNKNOWN: event(
    5004,
    'warn',
    "A write's reply was lost; the key is read to learn what happened.",
  ),
  STORE_WATCH_ENDED: event(
    5005,
    'info',
    'A watch on the store ended; the keys are listed and watched anew.',
  ),
  STORE_ENDPOINT_CHANGED: event(
    5006,
    'info',
    'Calls go to another endpoint of the store.',
  ),
  STORE_VALUE_INVALID: event(
    5007,
    'error',
    "A value in the store can't be read and is passed over.",
  ),
} as const;

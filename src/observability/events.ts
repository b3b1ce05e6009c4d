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
  SHUTDOWN_OVERDUE: event(
    1010,
    'error',
    'Work was left when the time for a graceful shutdown was up.',
  ),
  LOG_LINES_DROPPED: event(
    1011,
    'warn',
    'Lines were dropped: they came too fast, or nobody read them.',
  ),
  SETTINGS_RELOADED: event(
    1012,
    'info',
    'A signal asked for the settings to be read anew; what differs says whether a restart is needed.',
  ),
  // 2xxx: entries.
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
    'An upstream fails or lags: it gets no requests of the service but probes.',
  ),
  UPSTREAM_RETURNED: event(
    2006,
    'info',
    'An ejected or lost upstream gets requests again.',
  ),
  UPSTREAM_READMITTED: event(
    2007,
    'info',
    'An ejected upstream answers probes and gets requests again.',
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
  SETTINGS_CHANGED: event(
    2014,
    'info',
    "An operator's change of a settings branch was accepted here.",
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
  FAILURE_DOMAIN_OUT: event(
    2021,
    'info',
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
  SHARD_LOST: event(
    3002,
    'info',
    'This entry has let go of a shard; the reason says why.',
  ),
  SHARD_REPLAY_FAILED: event(
    3004,
    'error',
    "A shard's snapshot or log can't be read; its jobs stand still.",
  ),
  JOB_SUBMITTED: event(3008, 'debug', 'A job was accepted.'),
  JOB_CANCELLED: event(
    3011,
    'info',
    'A job was cancelled or a watcher closed.',
  ),
  TASK_PLACED: event(3013, 'debug', 'A task attempt was recorded for a VM.'),
  TASK_LOST: event(
    3014,
    'warn',
    'An attempt may have begun and has ended with its result unknown.',
  ),
  TASK_FAILED: event(
    3015,
    'info',
    'An attempt of a task has failed by itself.',
  ),
  START_REFUSED: event(
    3016,
    'info',
    'An agent refused the start of a task attempt; it did not run.',
  ),
  TASK_HELD: event(
    3017,
    'error',
    'A task that may not run twice was lost; it waits for a person.',
  ),
  VM_QUARANTINED: event(
    3018,
    'error',
    'A VM fails what succeeds elsewhere and gets no tasks of a shard.',
  ),
  VM_RELEASED: event(
    3019,
    'info',
    'A VM gets single tasks of a shard again, to see whether they succeed.',
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
  // 6xxx: the pool of workers and its workflows.
  POOL_OWNED: event(
    6000,
    'info',
    'This entry owns the pool and has read its workflows.',
  ),
  POOL_LOST: event(
    6001,
    'warn',
    'This entry owns the pool no longer; the reason says why.',
  ),
  POOL_CLAIM_FAILED: event(
    6002,
    'warn',
    'The pool could not be claimed or read; the entry tries again.',
  ),
  COMMIT_RETRIED: event(
    6003,
    'warn',
    'A commit of the owner was not answered or refused; it is sent again.',
  ),
  WORKFLOW_ACCEPTED: event(
    6010,
    'info',
    'A workflow is stored and will be run.',
  ),
  WORKFLOW_REFUSED: event(
    6011,
    'info',
    'A workflow was not accepted and never runs.',
  ),
  WORKFLOW_UNDECIDED: event(
    6012,
    'warn',
    'The store did not answer: whether a workflow was accepted is not known.',
  ),
  WORKFLOW_CANCELLED: event(
    6013,
    'info',
    'The cancellation of a workflow is stored.',
  ),
  WORKFLOW_ENDED: event(6014, 'info', 'A workflow has ended.'),
  RUN_PLACED: event(6020, 'info', 'A run of a task was given to a worker.'),
  RUN_ENDED: event(6021, 'info', 'A worker listed the end of a run.'),
  RUN_LOST: event(
    6022,
    'warn',
    'A run counts as ended since its worker is gone or its lease has lapsed.',
  ),
  RUN_REFUSED: event(6023, 'info', 'A run surely never began.'),
  RUN_STOPPED: event(6024, 'info', 'The owner wants a run to end.'),
  RUN_UNEXPECTED: event(
    6025,
    'warn',
    'A worker has a run that was not placed there; it is stopped.',
  ),
  WORKER_JOINED: event(6030, 'info', 'A worker can be given tasks.'),
  WORKER_CHANGED: event(6031, 'info', 'A worker has begun or ended to drain.'),
  WORKER_GONE: event(6032, 'warn', 'A worker can be given tasks no longer.'),
  WORKER_RESTED: event(
    6033,
    'warn',
    'A worker fails or stalls what it runs and gets nothing for a while.',
  ),
  CONFIGURATION_APPLIED: event(
    6040,
    'info',
    "A newer version of the operators' configuration is in force here.",
  ),
  CONFIGURATION_UNREADABLE: event(
    6041,
    'error',
    "The operators' configuration can't be read; the last one stays.",
  ),
  DOMAIN_EVACUATED: event(
    6042,
    'info',
    'The failure domains in which nothing is started have changed.',
  ),
  OPERATOR_KEYS_STALE: event(
    6043,
    'warn',
    "The operators' keys could not be read.",
  ),
  OWNER_ATTACHED: event(6050, 'info', 'The agent is attached to the owner.'),
  OWNER_LOST: event(6051, 'warn', 'The agent is attached to no owner.'),
  REPORT_UNREADABLE: event(
    6052,
    'warn',
    'A report names no worker that can be used.',
  ),
  INCARNATION_FOUND: event(
    6053,
    'info',
    'A new incarnation of the worker reports to the agent.',
  ),
  START_SETTLED: event(
    6054,
    'info',
    'The worker has begun a run, or surely never will.',
  ),
  WORKER_SILENT: event(
    6055,
    'warn',
    'The worker does not answer; its lease is prolonged no more.',
  ),
  WORKER_ANSWERS: event(6056, 'info', 'The worker answers again.'),
  TOKEN_FAILED: event(
    6057,
    'warn',
    'The agent could not get a fencing token; it tries again.',
  ),
  TASK_PACED: event(
    6058,
    'info',
    'The share at which a filling task works was changed.',
  ),
  START_OUTDATED: event(
    6059,
    'warn',
    'The order to start a run came too late to be obeyed.',
  ),
} as const;

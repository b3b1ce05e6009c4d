/**
 * Numbered events that processes log. docs/EVENTS.md lists them; a test
 * compares the page with the code.
 */
export const EventLevel = {
  DEBUG: 'debug',
  INFO: 'info',
  WARNING: 'warn',
  /** Needs attention during working hours; callers are not affected. */
  ERROR: 'error',
} as const;
export type EventLevel = (typeof EventLevel)[keyof typeof EventLevel];

export interface EventType {
  readonly number: number;
  readonly level: EventLevel;
  readonly meaning: string;
}

function eventType(
  number: number,
  level: EventLevel,
  meaning: string,
): EventType {
  return {number, level, meaning};
}

export const Events = {
  // 1xxx: any process.
  PROCESS_STARTED: eventType(
    1000,
    'info',
    'The process has started and is serving.',
  ),
  PROCESS_STOPPING: eventType(1001, 'info', 'A graceful shutdown has started.'),
  PROCESS_STOPPED: eventType(1002, 'info', 'The process has shut down.'),
  SETTINGS_APPLIED: eventType(
    1003,
    'info',
    'The process has applied a newer text of a settings branch.',
  ),
  SETTINGS_REJECTED: eventType(
    1004,
    'error',
    'A settings text is invalid or cannot be read; the last valid one stays in effect.',
  ),
  UNEXPECTED_FAULT: eventType(
    1005,
    'error',
    'An unexpected error was caught; the process keeps running.',
  ),
  SHUTDOWN_OVERDUE: eventType(
    1010,
    'error',
    'The graceful shutdown did not finish in time.',
  ),
  LOG_LINES_DROPPED: eventType(
    1011,
    'warn',
    'Log lines were dropped: the rate limit was exceeded or the reader stalled.',
  ),
  SETTINGS_RELOADED: eventType(
    1012,
    'info',
    'The settings were reread on a signal; a restart is needed if any setting has changed.',
  ),
  LISTENER_OVERLOADED: eventType(
    1013,
    'warn',
    'A listener refused or closed connections or bodies at its limits.',
  ),
  // 2xxx: entries.
  ENTRY_LEASE_LOST: eventType(
    2001,
    'error',
    "The entry's lease in the store expired; it drops its shards and registers again.",
  ),
  UPSTREAM_JOINED: eventType(
    2002,
    'info',
    'An agent has sent its first heartbeat.',
  ),
  UPSTREAM_DRAINING: eventType(
    2003,
    'info',
    'An upstream is shutting down gracefully and gets no new requests.',
  ),
  UPSTREAM_LOST: eventType(
    2004,
    'warn',
    "An agent's heartbeats have stopped; it gets no new requests.",
  ),
  UPSTREAM_EJECTED: eventType(
    2005,
    'warn',
    'An upstream fails or is slow; it gets only probes of the service.',
  ),
  UPSTREAM_RETURNED: eventType(
    2006,
    'info',
    'An ejected or lost upstream gets requests again.',
  ),
  UPSTREAM_READMITTED: eventType(
    2007,
    'info',
    'An ejected upstream responds to probes and gets requests again.',
  ),
  SERVICE_WITHOUT_UPSTREAM: eventType(
    2008,
    'error',
    'A service has no upstream that accepts requests.',
  ),
  SERVICE_SERVED_AGAIN: eventType(
    2009,
    'info',
    'A service has an upstream that accepts requests again.',
  ),
  SETTINGS_CHANGED: eventType(
    2014,
    'info',
    "This entry accepted an operator's change of a settings branch.",
  ),
  PROCESS_SETTINGS_LAG: eventType(
    2016,
    'error',
    'A process has not applied the settings within the expected time.',
  ),
  PROCESS_SETTINGS_CAUGHT_UP: eventType(
    2017,
    'info',
    'A process that lagged behind has applied the current settings.',
  ),
  FAILURE_DOMAIN_OUT: eventType(
    2021,
    'info',
    'Operators have taken a failure domain out of service.',
  ),
  FAILURE_DOMAIN_IN: eventType(
    2022,
    'info',
    'Operators have put a failure domain back into service.',
  ),
  VM_DRAINED: eventType(
    2023,
    'info',
    'Operators have started the drain of a VM.',
  ),
  VM_UNDRAINED: eventType(
    2024,
    'info',
    'Operators have ended the drain of a VM.',
  ),
  REGISTRATION_FAILED: eventType(
    2050,
    'warn',
    'The entry could not register in the store; it retries.',
  ),
  // 3xxx: shards and jobs.
  SHARD_TAKEN_OVER: eventType(
    3000,
    'info',
    'This entry owns a shard and has replayed its log.',
  ),
  SHARD_LOST: eventType(
    3002,
    'info',
    'This entry no longer owns a shard; see the reason.',
  ),
  SHARD_REPLAY_FAILED: eventType(
    3004,
    'error',
    "A shard's snapshot or log can't be read; its jobs are not scheduled.",
  ),
  JOB_SUBMITTED: eventType(3008, 'debug', 'A job was accepted.'),
  JOB_CANCELLED: eventType(
    3011,
    'info',
    'A job was cancelled or a watcher was closed.',
  ),
  TASK_PLACED: eventType(
    3013,
    'debug',
    'A task attempt was placed on a VM and recorded.',
  ),
  TASK_LOST: eventType(
    3014,
    'warn',
    'An attempt that may have started has ended with an unknown result.',
  ),
  TASK_FAILED: eventType(3015, 'info', 'The task itself failed in an attempt.'),
  START_REFUSED: eventType(
    3016,
    'info',
    'An agent refused the start of a task attempt; it did not run.',
  ),
  TASK_HELD: eventType(
    3017,
    'error',
    'A task that must not run twice was lost; an operator has to decide.',
  ),
  VM_QUARANTINED: eventType(
    3018,
    'error',
    'Tasks fail on a VM and succeed on others; it gets no tasks of the shard.',
  ),
  VM_RELEASED: eventType(
    3019,
    'info',
    'A quarantined VM gets single tasks of the shard again as a trial.',
  ),
  AGENT_CALL_FAILED: eventType(
    3050,
    'debug',
    'A call about task attempts got no reply; it is retried.',
  ),
  SNAPSHOT_FAILED: eventType(
    3051,
    'warn',
    "A shard's snapshot was not written; the next commit retries it.",
  ),
  HAND_OVER_FAILED: eventType(
    3052,
    'warn',
    'A shard or the pool could not be released in the store; its lease must expire first.',
  ),
  // 4xxx: agents.
  ENTRIES_FOUND: eventType(
    4000,
    'info',
    'The agent receives messages from an entry.',
  ),
  ENTRIES_LOST: eventType(4001, 'error', 'No entry responds to the agent.'),
  TASK_STARTED: eventType(4002, 'debug', 'The worker started a task attempt.'),
  TASK_ENDED: eventType(4003, 'debug', 'A task attempt has ended.'),
  TASK_START_REFUSED: eventType(
    4004,
    'info',
    'The agent refused a start; it did not run.',
  ),
  TASK_LEASE_LAPSED: eventType(
    4005,
    'warn',
    'A task was stopped because its lease expired.',
  ),
  TASK_THROTTLED: eventType(
    4006,
    'info',
    'The processor share of a batch task was reduced to protect a service.',
  ),
  TASK_RELEASED: eventType(
    4007,
    'info',
    'The processor share of a throttled task was raised again.',
  ),
  TASK_EVICTED: eventType(
    4008,
    'info',
    'A task was stopped with a checkpoint to protect a service or to free capacity for an urgent task.',
  ),
  CHECKPOINT_FAILED: eventType(
    4009,
    'warn',
    'The worker wrote no checkpoint; the task resumes from an earlier one.',
  ),
  WORKER_LOST: eventType(
    4010,
    'error',
    "The worker doesn't respond; nothing starts on the VM.",
  ),
  WORKER_BACK: eventType(
    4011,
    'info',
    'The worker responds again and its tasks are known.',
  ),
  TASK_UNKNOWN_STOPPED: eventType(
    4012,
    'warn',
    'The worker ran a task without an open attempt; the task was stopped.',
  ),
  EXECUTOR_LOST: eventType(
    4013,
    'error',
    "The executor can't be reached; the VM accepts no service requests.",
  ),
  EXECUTOR_BACK: eventType(4014, 'info', 'The executor can be reached again.'),
  SETTINGS_STALE: eventType(
    4016,
    'warn',
    'The settings were not confirmed recently; no task starts on the VM.',
  ),
  SETTINGS_FRESH: eventType(
    4017,
    'info',
    'The settings are confirmed again; tasks may start.',
  ),
  VM_OVERCOMMITTED: eventType(
    4018,
    'error',
    "The running tasks exceed the VM's capacity; nothing starts until they fit.",
  ),
  TAIL_TARGET_MISSED: eventType(
    4020,
    'warn',
    'The service on the VM misses its tail latency target.',
  ),
  TAIL_TARGET_MET: eventType(
    4021,
    'info',
    'The service meets its tail latency target again.',
  ),
  TASK_START_UNKNOWN: eventType(
    4022,
    'warn',
    'The worker did not respond to a start; capacity stays reserved until the result is known.',
  ),
  ENTRY_CONNECTION_SILENT: eventType(
    4023,
    'warn',
    'An entry did not reply to two heartbeats; the connection was replaced.',
  ),
  ENTRY_CONNECTION_BACK: eventType(4024, 'info', 'The entry responds again.'),
  // 5xxx: the store.
  STORE_UNREACHABLE: eventType(
    5000,
    'error',
    "The platform's store doesn't respond.",
  ),
  STORE_BACK: eventType(5001, 'info', 'The store responds again.'),
  // 6xxx: the pool of workers and its workflows.
  POOL_OWNED: eventType(
    6000,
    'info',
    'This entry owns the pool and has loaded its workflows.',
  ),
  POOL_LOST: eventType(
    6001,
    'warn',
    'This entry no longer owns the pool; see the reason.',
  ),
  POOL_CLAIM_FAILED: eventType(
    6002,
    'warn',
    'The pool could not be claimed or loaded; the entry retries.',
  ),
  COMMIT_RETRIED: eventType(
    6003,
    'warn',
    'A commit or lease renewal of the owner failed or got no response; it is retried.',
  ),
  WORKFLOW_ACCEPTED: eventType(
    6010,
    'info',
    'A workflow is stored and will be run.',
  ),
  WORKFLOW_REFUSED: eventType(
    6011,
    'info',
    'A workflow was rejected and will never run.',
  ),
  WORKFLOW_UNDECIDED: eventType(
    6012,
    'warn',
    'The store did not respond; it is unknown whether a workflow was accepted.',
  ),
  WORKFLOW_CANCELLED: eventType(
    6013,
    'info',
    'The cancellation of a workflow is stored.',
  ),
  WORKFLOW_ENDED: eventType(6014, 'info', 'A workflow has ended.'),
  CANCELLATION_REFUSED: eventType(
    6018,
    'info',
    'A cancellation was rejected and has no effect; the caller was told when to try again.',
  ),
  RUN_PLACED: eventType(
    6020,
    'info',
    'A run of a task was assigned to a worker.',
  ),
  RUN_ENDED: eventType(6021, 'info', 'A worker reported the end of a run.'),
  RUN_LOST: eventType(
    6022,
    'warn',
    'A run counts as ended because its worker was removed or its lease expired.',
  ),
  RUN_REFUSED: eventType(
    6023,
    'info',
    'A run was refused and is guaranteed not to have started.',
  ),
  RUN_STOPPED: eventType(
    6024,
    'info',
    'The owner has requested the stop of a run.',
  ),
  RUN_UNEXPECTED: eventType(
    6025,
    'warn',
    'A worker has a run that was not placed there; the run is stopped.',
  ),
  TASK_ABSENT: eventType(
    6026,
    'warn',
    'A long-running task is not at work; the event says why and for how long.',
  ),
  WORKER_JOINED: eventType(6030, 'info', 'A worker is available for tasks.'),
  WORKER_CHANGED: eventType(
    6031,
    'info',
    'The drain of a worker has started or ended.',
  ),
  WORKER_GONE: eventType(
    6032,
    'warn',
    'A worker is no longer available for tasks.',
  ),
  WORKER_RESTED: eventType(
    6033,
    'warn',
    'A worker with failing or stalled runs gets no tasks during a cooldown.',
  ),
  LEASE_EXPIRED: eventType(
    6034,
    'warn',
    "A worker's lease has expired without a message; shows from when it counted.",
  ),
  WORKFLOW_AT_FAULT: eventType(
    6035,
    'info',
    'A workflow failed or stalled on several workers and worked on none; it no longer counts against them.',
  ),
  CONFIGURATION_APPLIED: eventType(
    6040,
    'info',
    "This entry has applied a newer version of the operators' configuration.",
  ),
  CONFIGURATION_UNREADABLE: eventType(
    6041,
    'error',
    "The operators' configuration can't be read; the last one stays in effect.",
  ),
  DOMAIN_EVACUATED: eventType(
    6042,
    'info',
    'The set of evacuated failure domains, in which nothing starts, has changed.',
  ),
  OPERATOR_KEYS_STALE: eventType(
    6043,
    'warn',
    'Watched store keys of operators, entries, the owner or the inbox could not be read.',
  ),
  OWNER_ATTACHED: eventType(
    6050,
    'info',
    'The agent is attached to the owner.',
  ),
  OWNER_LOST: eventType(6051, 'warn', 'The agent is attached to no owner.'),
  REPORT_UNREADABLE: eventType(
    6052,
    'warn',
    'Worker reports were refused: they cannot be decoded, or are not of the worker.',
  ),
  INCARNATION_FOUND: eventType(
    6053,
    'info',
    'A new incarnation of the worker reports to the agent.',
  ),
  START_SETTLED: eventType(
    6054,
    'info',
    'A start is settled: the worker has started the run, or never will.',
  ),
  WORKER_SILENT: eventType(
    6055,
    'warn',
    'The worker does not respond; its lease is not renewed.',
  ),
  WORKER_ANSWERS: eventType(6056, 'info', 'The worker responds again.'),
  TOKEN_FAILED: eventType(
    6057,
    'warn',
    'The agent could not get a fencing token; it retries.',
  ),
  TASK_PACED: eventType(
    6058,
    'info',
    'The processor share of a best-effort run was changed.',
  ),
  START_OUTDATED: eventType(
    6059,
    'warn',
    'The command to start a run arrived too late and was ignored.',
  ),
  WORKER_REPLACED: eventType(
    6060,
    'warn',
    'The worker has restarted under its id; the agent awaits its report.',
  ),
  TOKEN_SUPERSEDED: eventType(
    6061,
    'warn',
    'Another process run of the agent has claimed its key; this one gets no further fencing tokens.',
  ),
  COMMAND_DROPPED: eventType(
    6062,
    'error',
    'No message can carry a command to an agent; it was dropped.',
  ),
  INTERFERENCE_RESTORED: eventType(
    6070,
    'info',
    'The owner has adopted the interference of images that an earlier owner learned.',
  ),
  INTERFERENCE_NOT_RESTORED: eventType(
    6071,
    'warn',
    'The stored interference of images is not usable; the owner learns it anew.',
  ),
  COPY_STARTED: eventType(
    6080,
    'info',
    'A second run of a slow task was assigned to another worker.',
  ),
  COPY_WON: eventType(
    6081,
    'info',
    'The second run of a slow task was done first; the first run is stopped.',
  ),
  COPY_LOST: eventType(
    6082,
    'info',
    'The first run of a slow task was done first; the second run is stopped.',
  ),
  RESERVATION_MADE: eventType(
    6090,
    'info',
    'A worker is reserved for tasks of a step that found no worker.',
  ),
  RESERVATION_ENDED: eventType(
    6091,
    'info',
    'The reservation of a worker has ended.',
  ),
  WORKFLOW_DEFERRED: eventType(
    6100,
    'info',
    'A workflow was refused with a Retry-After, as it would end without value.',
  ),
  DEFERRED_ACCEPTED: eventType(
    6101,
    'info',
    'A workflow that was refused with a Retry-After before is stored.',
  ),
  REFUSAL_NOT_STORED: eventType(
    6102,
    'info',
    'A refusal could not be stored, so the workflow was not refused.',
  ),
  OUTLOOK_INVALID: eventType(
    6103,
    'info',
    "The owner's outlook has a value out of range and is not used.",
  ),
  REFUSAL_REMOVAL_FAILED: eventType(
    6104,
    'info',
    'Records of refused workflows could not be removed; it is tried again.',
  ),
  // 611x: explanations of placement.
  PLACEMENT_EXPLAINED: eventType(
    6110,
    'info',
    'The owner explained to an operator where a workflow would be placed.',
  ),
} as const;

/**
 * The numbered results that callers, operators and agents see. docs/RESULT_CODES.md
 * lists them; a test compares both.
 */
export interface ResultCode {
  readonly number: number;
  readonly name: string;
  readonly httpStatus: number;
  readonly meaning: string;
}

function code(
  number: number,
  name: string,
  httpStatus: number,
  meaning: string,
): ResultCode {
  return {number, name, httpStatus, meaning};
}

export const ResultCodes = {
  // 1xx: the call itself.
  BAD_REQUEST: code(100, 'BAD_REQUEST', 400, 'The call is malformed.'),
  NOT_FOUND: code(101, 'NOT_FOUND', 404, 'Nothing has this name.'),
  BODY_TOO_LARGE: code(
    102,
    'BODY_TOO_LARGE',
    413,
    'The body is over the limit.',
  ),
  METHOD_NOT_ALLOWED: code(
    103,
    'METHOD_NOT_ALLOWED',
    405,
    'The path does not take this method.',
  ),
  ENTRY_STOPPING: code(
    104,
    'ENTRY_STOPPING',
    503,
    'The entry shuts down; the balancer is to send callers elsewhere.',
  ),
  CALL_TOO_SLOW: code(
    105,
    'CALL_TOO_SLOW',
    408,
    'Not run: the call did not arrive whole in time.',
  ),
  // 2xx: service requests.
  NO_UPSTREAM: code(
    200,
    'NO_UPSTREAM',
    503,
    'Not run: no upstream of the service takes requests now.',
  ),
  QUEUE_FULL: code(
    201,
    'QUEUE_FULL',
    503,
    'Not run: the expected wait is longer than the deadline.',
  ),
  TEAM_LIMIT: code(
    202,
    'TEAM_LIMIT',
    429,
    'Not run: the service is over its limit of requests.',
  ),
  DEADLINE_PASSED: code(
    203,
    'DEADLINE_PASSED',
    504,
    'Not run: the deadline passed in the queue.',
  ),
  OUTCOME_UNKNOWN: code(
    204,
    'OUTCOME_UNKNOWN',
    504,
    'The request may have run; no whole answer came.',
  ),
  UPSTREAM_DRAINING: code(
    205,
    'UPSTREAM_DRAINING',
    503,
    'Not run: the upstream is shutting down.',
  ),
  EXECUTOR_UNREACHABLE: code(
    206,
    'EXECUTOR_UNREACHABLE',
    502,
    'Not run: the executor could not be reached.',
  ),
  // 3xx: jobs and attempts.
  JOB_CONFLICT: code(300, 'JOB_CONFLICT', 409, 'Another job has this name.'),
  SHARD_UNAVAILABLE: code(
    301,
    'SHARD_UNAVAILABLE',
    503,
    'Not done: the team has no scheduler at this moment.',
  ),
  OLD_EPOCH: code(
    302,
    'OLD_EPOCH',
    409,
    'Refused: the shard has a newer owner.',
  ),
  OTHER_INCARNATION: code(
    303,
    'OTHER_INCARNATION',
    409,
    'Refused: the agent has restarted since.',
  ),
  NO_CAPACITY: code(
    304,
    'NO_CAPACITY',
    409,
    'Refused: the VM has no room left for the size.',
  ),
  SETTINGS_NOT_CONFIRMED: code(
    305,
    'SETTINGS_NOT_CONFIRMED',
    409,
    'Refused: the settings have not been confirmed lately.',
  ),
  FAILURE_DOMAIN_OUT: code(
    306,
    'FAILURE_DOMAIN_OUT',
    409,
    'Refused: the failure domain is out.',
  ),
  VM_DRAINED: code(
    307,
    'VM_DRAINED',
    409,
    'Refused: the VM is drained or stopping.',
  ),
  START_DELAYED: code(
    308,
    'START_DELAYED',
    409,
    'Refused: the start was delayed on its way.',
  ),
  ATTEMPT_CLOSED: code(
    309,
    'ATTEMPT_CLOSED',
    409,
    'Refused: the attempt has ended.',
  ),
  WORKER_REFUSED: code(
    310,
    'WORKER_REFUSED',
    409,
    'Refused: the worker did not start the task.',
  ),
  WORKER_UNAVAILABLE: code(
    311,
    'WORKER_UNAVAILABLE',
    409,
    'The worker does not answer.',
  ),
  LEASE_LAPSED: code(
    312,
    'LEASE_LAPSED',
    409,
    'The task stopped because its lease lapsed.',
  ),
  TASK_FAILED: code(313, 'TASK_FAILED', 409, 'The task itself failed.'),
  JOB_CLOSED: code(314, 'JOB_CLOSED', 409, 'The job has ended already.'),
  NO_LEASE: code(
    315,
    'NO_LEASE',
    409,
    'Refused: the agent holds no lease from the owner of the shard.',
  ),
  JOB_OPEN: code(316, 'JOB_OPEN', 409, 'The job has not ended yet.'),
  TAIL_PROTECTED: code(
    317,
    'TAIL_PROTECTED',
    409,
    'Refused or evicted: a service would miss its tail target.',
  ),
  DISPLACED: code(
    318,
    'DISPLACED',
    409,
    'The task was evicted to make room for an urgent one.',
  ),
  // 4xx: settings.
  SETTINGS_INVALID: code(
    400,
    'SETTINGS_INVALID',
    422,
    'The settings text has faults.',
  ),
  SETTINGS_CONFLICT: code(
    401,
    'SETTINGS_CONFLICT',
    409,
    'The branch was changed by someone else.',
  ),
  // 5xx: the system.
  STORE_UNAVAILABLE: code(
    500,
    'STORE_UNAVAILABLE',
    503,
    'Not done: the platform store does not answer.',
  ),
  STOPPING: code(
    501,
    'STOPPING',
    503,
    'Not done: this process is shutting down.',
  ),
  INTERNAL: code(
    502,
    'INTERNAL',
    500,
    'An unexpected fault; the log has more.',
  ),
  STORE_OUTCOME_UNKNOWN: code(
    503,
    'STORE_OUTCOME_UNKNOWN',
    504,
    'The store did not say whether the change was made.',
  ),
  PROCESS_UNREACHABLE: code(
    504,
    'PROCESS_UNREACHABLE',
    502,
    'The other process does not answer.',
  ),
  PROCESS_TOO_SLOW: code(
    505,
    'PROCESS_TOO_SLOW',
    503,
    'Not sent: the other process does not keep up with the calls to it.',
  ),
} as const;

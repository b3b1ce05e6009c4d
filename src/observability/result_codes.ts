/**
 * Numbered results that are returned to callers, operators and agents.
 * docs/RESULT_CODES.md lists them; a test compares the page with the code.
 */
export interface ResultCode {
  readonly number: number;
  readonly name: string;
  readonly httpStatus: number;
  readonly meaning: string;
}

function resultCode(
  number: number,
  name: string,
  httpStatus: number,
  meaning: string,
): ResultCode {
  return {number, name, httpStatus, meaning};
}

export const ResultCodes = {
  // 1xx: the call itself.
  BAD_REQUEST: resultCode(100, 'BAD_REQUEST', 400, 'The call is malformed.'),
  NOT_FOUND: resultCode(101, 'NOT_FOUND', 404, 'No resource has this name.'),
  BODY_TOO_LARGE: resultCode(
    102,
    'BODY_TOO_LARGE',
    413,
    'The body exceeds the size limit.',
  ),
  METHOD_NOT_ALLOWED: resultCode(
    103,
    'METHOD_NOT_ALLOWED',
    405,
    'The path does not support this method.',
  ),
  ENTRY_STOPPING: resultCode(
    104,
    'ENTRY_STOPPING',
    503,
    'The entry is shutting down; the load balancer should use other entries.',
  ),
  CALL_TOO_SLOW: resultCode(
    105,
    'CALL_TOO_SLOW',
    408,
    'Not run: the call was not received completely in time.',
  ),
  HEADERS_TOO_LARGE: resultCode(
    106,
    'HEADERS_TOO_LARGE',
    431,
    'The headers exceed the size limit.',
  ),
  TOO_MANY_BODIES: resultCode(
    107,
    'TOO_MANY_BODIES',
    503,
    'Not run: the bodies of all calls together take too much memory.',
  ),
  // 2xx: service requests.
  NO_UPSTREAM: resultCode(
    200,
    'NO_UPSTREAM',
    503,
    'Not run: no upstream of the service accepts requests.',
  ),
  QUEUE_FULL: resultCode(
    201,
    'QUEUE_FULL',
    503,
    'Not run: the expected wait is longer than the deadline.',
  ),
  TEAM_LIMIT: resultCode(
    202,
    'TEAM_LIMIT',
    429,
    'Not run: the service exceeds its request rate limit.',
  ),
  DEADLINE_PASSED: resultCode(
    203,
    'DEADLINE_PASSED',
    504,
    'Not run: the deadline passed while the request was queued.',
  ),
  OUTCOME_UNKNOWN: resultCode(
    204,
    'OUTCOME_UNKNOWN',
    504,
    'The request may have run; no complete response was received.',
  ),
  UPSTREAM_DRAINING: resultCode(
    205,
    'UPSTREAM_DRAINING',
    503,
    'Not run: the upstream is shutting down.',
  ),
  EXECUTOR_UNREACHABLE: resultCode(
    206,
    'EXECUTOR_UNREACHABLE',
    502,
    'Not run: the executor could not be reached.',
  ),
  // 3xx: jobs and attempts.
  JOB_CONFLICT: resultCode(
    300,
    'JOB_CONFLICT',
    409,
    'Another job has this name.',
  ),
  SHARD_UNAVAILABLE: resultCode(
    301,
    'SHARD_UNAVAILABLE',
    503,
    'Not done: the shard of the team has no owner at this moment.',
  ),
  OLD_EPOCH: resultCode(
    302,
    'OLD_EPOCH',
    409,
    'Refused: the shard has a newer owner.',
  ),
  OTHER_INCARNATION: resultCode(
    303,
    'OTHER_INCARNATION',
    409,
    'Refused: the agent has restarted in the meantime.',
  ),
  NO_CAPACITY: resultCode(
    304,
    'NO_CAPACITY',
    409,
    'Refused: the VM has too little free capacity for the task.',
  ),
  SETTINGS_NOT_CONFIRMED: resultCode(
    305,
    'SETTINGS_NOT_CONFIRMED',
    409,
    'Refused: the settings were not confirmed recently enough.',
  ),
  FAILURE_DOMAIN_OUT: resultCode(
    306,
    'FAILURE_DOMAIN_OUT',
    409,
    'Refused: the failure domain is out of service.',
  ),
  VM_DRAINED: resultCode(
    307,
    'VM_DRAINED',
    409,
    'Refused: the VM is draining or stopping.',
  ),
  START_DELAYED: resultCode(
    308,
    'START_DELAYED',
    409,
    'Refused: the start command arrived too late.',
  ),
  ATTEMPT_CLOSED: resultCode(
    309,
    'ATTEMPT_CLOSED',
    409,
    'Refused: the attempt has ended.',
  ),
  WORKER_REFUSED: resultCode(
    310,
    'WORKER_REFUSED',
    409,
    'Refused: the worker did not start the task.',
  ),
  WORKER_UNAVAILABLE: resultCode(
    311,
    'WORKER_UNAVAILABLE',
    409,
    'The worker does not respond.',
  ),
  LEASE_LAPSED: resultCode(
    312,
    'LEASE_LAPSED',
    409,
    'The task was stopped because its lease expired.',
  ),
  TASK_FAILED: resultCode(313, 'TASK_FAILED', 409, 'The task itself failed.'),
  JOB_CLOSED: resultCode(314, 'JOB_CLOSED', 409, 'The job has already ended.'),
  NO_LEASE: resultCode(
    315,
    'NO_LEASE',
    409,
    'Refused: the agent has no lease from the owner of the shard.',
  ),
  JOB_OPEN: resultCode(316, 'JOB_OPEN', 409, 'The job has not ended yet.'),
  TAIL_PROTECTED: resultCode(
    317,
    'TAIL_PROTECTED',
    409,
    'Refused or evicted: a service would miss its tail latency target.',
  ),
  DISPLACED: resultCode(
    318,
    'DISPLACED',
    409,
    'The task was evicted to free capacity for an urgent task.',
  ),
  // 4xx: settings.
  SETTINGS_INVALID: resultCode(
    400,
    'SETTINGS_INVALID',
    422,
    'The settings text is invalid.',
  ),
  SETTINGS_CONFLICT: resultCode(
    401,
    'SETTINGS_CONFLICT',
    409,
    'The branch was changed concurrently.',
  ),
  // 5xx: the system.
  STORE_UNAVAILABLE: resultCode(
    500,
    'STORE_UNAVAILABLE',
    503,
    'Not done: the platform store does not respond.',
  ),
  STOPPING: resultCode(
    501,
    'STOPPING',
    503,
    'Not done: this process is shutting down.',
  ),
  INTERNAL: resultCode(
    502,
    'INTERNAL',
    500,
    'An unexpected error occurred; the log has details.',
  ),
  STORE_OUTCOME_UNKNOWN: resultCode(
    503,
    'STORE_OUTCOME_UNKNOWN',
    504,
    'The store did not confirm whether the change was made.',
  ),
  PROCESS_UNREACHABLE: resultCode(
    504,
    'PROCESS_UNREACHABLE',
    502,
    'The other process does not respond.',
  ),
  PROCESS_TOO_SLOW: resultCode(
    505,
    'PROCESS_TOO_SLOW',
    503,
    'Not sent: too many calls to the other process are pending.',
  ),
  POOL_WITHOUT_OWNER: resultCode(
    506,
    'POOL_WITHOUT_OWNER',
    503,
    'Not done: the pool has no owner that responds at this moment.',
  ),
  OWNER_BUSY: resultCode(
    507,
    'OWNER_BUSY',
    503,
    'Not done: the owner of the pool is busy with calls of this kind.',
  ),
} as const;

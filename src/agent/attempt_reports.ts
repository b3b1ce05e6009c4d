import {AttemptOutcome} from '../decisions/job_types.js';
import type {AttemptName, AttemptReport} from '../decisions/job_types.js';
import {ResultCodes} from '../observability/result_codes.js';
import type {ResultCode} from '../observability/result_codes.js';
import {WorkerTaskState} from '../backends/worker.js';
import type {WorkerTask} from '../backends/worker.js';
import {NO_RESOURCES} from '../utilities/resources.js';
import type {Attempt} from './attempt_table.js';

/** Result code in the reports of finished attempts, which need none. */
const NO_RESULT_CODE = 0;

/** Returns the report of an attempt that never started. */
export function createRefusedReport(
  name: AttemptName,
  code: ResultCode,
  reason: string,
): AttemptReport {
  return {
    name,
    outcome: AttemptOutcome.REFUSED,
    checkpoint: '',
    result: '',
    reason,
    resultCode: code.number,
    ranMillis: 0,
    used: NO_RESOURCES,
  };
}

/** Returns the report of an attempt that ended with an unknown result. */
export function createLostReport(
  attempt: Attempt,
  code: ResultCode,
  reason: string,
): AttemptReport {
  return {
    name: attempt.name,
    outcome: AttemptOutcome.LOST,
    checkpoint: attempt.checkpoint,
    result: '',
    reason,
    resultCode: code.number,
    ranMillis: attempt.ranMillis,
    used: attempt.used,
  };
}

/** Returns the report of an attempt whose task has ended at the worker. */
export function createEndedReport(
  attempt: Attempt,
  task: WorkerTask,
): AttemptReport {
  const {outcome, resultCode, reason} = endResultOf(attempt, task);
  return {
    name: attempt.name,
    outcome,
    checkpoint: task.checkpoint || attempt.checkpoint,
    result: task.result,
    reason,
    resultCode,
    ranMillis: task.ranMillis,
    used: attempt.used,
  };
}

interface EndResult {
  readonly outcome: AttemptOutcome;
  readonly resultCode: number;
  readonly reason: string;
}

function endResultOf(attempt: Attempt, task: WorkerTask): EndResult {
  if (task.state === WorkerTaskState.FINISHED) {
    const outcome = AttemptOutcome.FINISHED;
    return {outcome, resultCode: NO_RESULT_CODE, reason: ''};
  }
  if (task.state === WorkerTaskState.FAILED) {
    return {
      outcome: AttemptOutcome.FAILED,
      resultCode: ResultCodes.TASK_FAILED.number,
      reason: task.reason || 'the task failed',
    };
  }
  if (task.state === WorkerTaskState.LAPSED) return expiredResult();
  return stoppedResultOf(attempt);
}

function expiredResult(): EndResult {
  return {
    outcome: AttemptOutcome.LOST,
    resultCode: ResultCodes.LEASE_LAPSED.number,
    reason: 'the worker stopped the task because its lease expired',
  };
}

/** Only an evictable task can continue from its checkpoint after a stop. */
function stoppedResultOf(attempt: Attempt): EndResult {
  const intent = attempt.stopIntent;
  if (!intent) {
    return {
      outcome: attempt.evictable ? AttemptOutcome.EVICTED : AttemptOutcome.LOST,
      resultCode: ResultCodes.VM_DRAINED.number,
      reason: 'the task was stopped before this agent process started',
    };
  }
  const {reason, resultCode} = intent;
  if (intent.outcome !== AttemptOutcome.EVICTED || attempt.evictable) {
    return {outcome: intent.outcome, resultCode, reason};
  }
  return {outcome: AttemptOutcome.LOST, resultCode, reason};
}

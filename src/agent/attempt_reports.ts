import {AttemptOutcome} from '../decisions/job_types.js';
import type {AttemptName, AttemptReport} from '../decisions/job_types.js';
import {ResultCodes} from '../observability/result_codes.js';
import type {ResultCode} from '../observability/result_codes.js';
import {WorkerTaskState} from '../backends/worker.js';
import type {WorkerTask} from '../backends/worker.js';
import {NO_RESOURCES} from '../utilities/resources.js';
import type {Attempt} from './attempt_table.js';

/** Number in reports of attempts that need no result code. */
const NO_RESULT_CODE = 0;

/** The report of an attempt that never began. */
export function refusedReport(
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

/** The report of an attempt that has ended with its result unknown. */
export function lostReport(
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

/** The report of an attempt whose task the worker says has ended. */
export function endedReport(attempt: Attempt, task: WorkerTask): AttemptReport {
  const {outcome, resultCode, reason} = judge(attempt, task);
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

interface Judgement {
  readonly outcome: AttemptOutcome;
  readonly resultCode: number;
  readonly reason: string;
}

function judge(attempt: Attempt, task: WorkerTask): Judgement {
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
  if (task.state === WorkerTaskState.LAPSED) return judgeLapsed();
  return judgeStopped(attempt);
}

function judgeLapsed(): Judgement {
  return {
    outcome: AttemptOutcome.LOST,
    resultCode: ResultCodes.LEASE_LAPSED.number,
    reason: 'the worker stopped the task because its lease lapsed',
  };
}

/** A task that stopped midway can only go on where progress is kept. */
function judgeStopped(attempt: Attempt): Judgement {
  const intent = attempt.stopIntent;
  if (!intent) {
    return {
      outcome: attempt.evictable ? AttemptOutcome.EVICTED : AttemptOutcome.LOST,
      resultCode: ResultCodes.VM_DRAINED.number,
      reason: 'the task was stopped before this run of the agent',
    };
  }
  const {reason, resultCode} = intent;
  if (intent.outcome !== AttemptOutcome.EVICTED || attempt.evictable) {
    return {outcome: intent.outcome, resultCode, reason};
  }
  return {outcome: AttemptOutcome.LOST, resultCode, reason};
}

import {
  AttemptOutcome,
  LogRecordType,
  attemptKey,
} from '../../decisions/job_types.js';
import type {LogRecord} from '../../decisions/job_types.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';

/** Logs what a shard has decided and recorded. */
export function logRecordEvents(
  records: readonly LogRecord[],
  logger: Logger,
): void {
  for (const record of records) logRecordEvent(record, logger);
}

function logRecordEvent(record: LogRecord, logger: Logger): void {
  if (record.type === LogRecordType.SUBMITTED) {
    const {team, name, taskCount} = record.specification;
    logger.event(Events.JOB_SUBMITTED, {team, job: name, tasks: taskCount});
    return;
  }
  if (record.type === LogRecordType.PLACED) {
    const {vm, reason} = record;
    logger.event(Events.TASK_PLACED, {
      attempt: attemptKey(record.name),
      vm,
      reason,
    });
    return;
  }
  if (record.type === LogRecordType.CANCELLED) {
    const {team, job, reason} = record;
    logger.event(Events.JOB_CANCELLED, {team, job, reason});
    return;
  }
  if (record.type !== LogRecordType.CLOSED) return;
  const {outcome, reason} = record;
  const attempt = attemptKey(record.name);
  if (outcome === AttemptOutcome.LOST) {
    logger.event(Events.TASK_LOST, {attempt, reason});
  } else if (outcome === AttemptOutcome.FAILED) {
    logger.event(Events.TASK_FAILED, {attempt, reason});
  } else if (outcome === AttemptOutcome.REFUSED) {
    logger.event(Events.START_REFUSED, {attempt, reason});
  }
}

import {
  AttemptOutcome,
  LogRecordType,
  attemptKey,
} from '../../decisions/job_types.js';
import type {AttemptName, LogRecord} from '../../decisions/job_types.js';
import {TaskPhase} from '../../decisions/jobs/job_state.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';

/** The part of the shard's scheduler that is used to log its records. */
export interface TaskPhases {
  job(
    team: string,
    name: string,
  ): {readonly tasks: ReadonlyArray<{readonly phase: string}>} | undefined;
}

/** Logs events for the recorded decisions of a shard. */
export function logRecordEvents(
  records: readonly LogRecord[],
  phases: TaskPhases,
  logger: Logger,
): void {
  for (const record of records) logRecordEvent(record, phases, logger);
}

function logRecordEvent(
  record: LogRecord,
  phases: TaskPhases,
  logger: Logger,
): void {
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
    const isHeld = phaseOf(record.name, phases) === TaskPhase.HELD;
    const type = isHeld ? Events.TASK_HELD : Events.TASK_LOST;
    logger.event(type, {attempt, reason});
  } else if (outcome === AttemptOutcome.FAILED) {
    logger.event(Events.TASK_FAILED, {attempt, reason});
  } else if (outcome === AttemptOutcome.REFUSED) {
    logger.event(Events.START_REFUSED, {attempt, reason});
  }
}

function phaseOf(name: AttemptName, phases: TaskPhases): string | undefined {
  return phases.job(name.team, name.job)?.tasks[name.task]?.phase;
}

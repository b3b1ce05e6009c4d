import {AttemptOutcome} from '../../decisions/job_types.js';
import type {AttemptReport} from '../../decisions/job_types.js';
import type {AttemptReport as AttemptReportMessage} from '../../protocol/generated/burdockmoor.js';
import {InvalidMessageError} from '../../protocol/invalid_message_error.js';
import {NO_RESOURCES} from '../../utilities/resources.js';

const OUTCOMES: ReadonlySet<string> = new Set(Object.values(AttemptOutcome));

/** @throws InvalidMessageError for a missing name or an unknown outcome. */
export function attemptReportOf(message: AttemptReportMessage): AttemptReport {
  if (!message.name || !isOutcome(message.outcome)) {
    throw new InvalidMessageError(
      `Field reports.outcome is ${JSON.stringify(message.outcome)}.`,
    );
  }
  return {
    name: message.name,
    outcome: message.outcome,
    checkpoint: message.checkpoint,
    result: message.result,
    reason: message.reason,
    resultCode: message.resultCode,
    ranMillis: message.ranMillis,
    used: message.used ?? NO_RESOURCES,
  };
}

function isOutcome(value: string): value is AttemptOutcome {
  return OUTCOMES.has(value);
}

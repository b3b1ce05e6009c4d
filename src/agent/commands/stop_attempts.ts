import {AttemptOutcome, attemptKey} from '../../decisions/job_types.js';
import {ResultCodes} from '../../observability/result_codes.js';
import type {
  StopAttempt,
  StopAttemptsReply,
  StopAttemptsRequest,
} from '../../protocol/generated/burdockmoor.js';
import type {AgentContext} from '../agent_context.js';
import type {StopIntent} from '../attempt_table.js';
import {evictionIntent} from './attempt_stopper.js';
import type {AttemptStopper} from './attempt_stopper.js';

/** Stops attempts for the owner of their shard; their ends are reported. */
export class StopAttempts {
  constructor(
    private readonly context: AgentContext,
    private readonly stopper: AttemptStopper,
  ) {}

  execute(request: StopAttemptsRequest): StopAttemptsReply {
    if (!this.context.leases.fence(request.shard, request.epoch)) {
      return {accepted: false, resultCode: ResultCodes.OLD_EPOCH.number};
    }
    for (const stop of request.stops) this.stopOne(stop);
    return {accepted: true, resultCode: 0};
  }

  private stopOne(stop: StopAttempt): void {
    const {attempts, closed, clock} = this.context;
    if (!stop.name) return;
    const attempt = attempts.get(stop.name);
    if (attempt) return this.stopper.stop(attempt, intentOf(stop));
    // The start of the attempt may still arrive, and is then refused.
    closed.close(attemptKey(stop.name), clock.now());
  }
}

function intentOf(stop: StopAttempt): StopIntent {
  if (stop.checkpoint) return evictionIntent(stop.reason);
  return {
    outcome: AttemptOutcome.CANCELLED,
    resultCode: ResultCodes.JOB_CLOSED.number,
    reason: stop.reason,
    checkpoint: false,
  };
}

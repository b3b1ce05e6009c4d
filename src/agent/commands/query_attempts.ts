import {attemptKey} from '../../decisions/job_types.js';
import type {AttemptName} from '../../decisions/job_types.js';
import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import type {
  AttemptState,
  QueryAttemptsReply,
  QueryAttemptsRequest,
} from '../../protocol/generated/burdockmoor.js';
import {isRecovering} from '../agent_context.js';
import type {AgentContext} from '../agent_context.js';
import {createRefusedReport} from '../attempt_reports.js';

/**
 * Reports the state of attempts to a shard's owner, fences earlier owners, and
 * permanently closes the attempts that the agent doesn't know.
 */
export class QueryAttempts {
  constructor(private readonly context: AgentContext) {}

  execute(request: QueryAttemptsRequest): QueryAttemptsReply {
    if (!this.context.leases.fence(request.shard, request.epoch)) {
      return this.reject(ResultCodes.OLD_EPOCH);
    }
    // An unknown attempt may exist until the worker has reported its tasks.
    if (isRecovering(this.context)) {
      return this.reject(ResultCodes.WORKER_UNAVAILABLE);
    }
    const states: AttemptState[] = [];
    for (const name of request.names) states.push(this.stateOf(name));
    const {incarnation} = this.context.identity;
    return {accepted: true, resultCode: 0, incarnation, states};
  }

  private reject(code: ResultCode): QueryAttemptsReply {
    const {incarnation} = this.context.identity;
    return {accepted: false, resultCode: code.number, incarnation, states: []};
  }

  private stateOf(name: AttemptName): AttemptState {
    const {attempts, closed, clock} = this.context;
    const attempt = attempts.get(name);
    if (attempt) {
      return {name, running: !attempt.report, report: attempt.report};
    }
    closed.close(attemptKey(name), clock.now());
    const reason = 'the agent does not know the attempt, and closed it';
    const report = createRefusedReport(
      name,
      ResultCodes.ATTEMPT_CLOSED,
      reason,
    );
    return {name, running: false, report};
  }
}

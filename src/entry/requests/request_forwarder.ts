import type {RequestLimiter} from '../../decisions/admission/request_limiter.js';
import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import {ResultCodes} from '../../observability/result_codes.js';
import {ServeOutcome} from '../../protocol/links.js';
import type {Clock} from '../../utilities/clock.js';
import type {AgentDirectory} from '../agents/agent_directory.js';
import type {ApiResponse} from '../http/api_types.js';
import {toApiResponse} from './caller_response.js';
import type {CallerRequest} from './caller_request.js';
import {HedgedRequestSender} from './hedged_request_sender.js';
import type {RequestObserver} from './request_observer.js';
import {notRunResult, unknownResult} from './request_attempt_result.js';
import type {
  FailedRequestAttempt,
  RequestAttemptResult,
} from './request_attempt_result.js';
import {UpstreamRequestSender} from './upstream_request_sender.js';

const MAXIMUM_REQUEST_ATTEMPTS = 3;

/** Forwards service requests to agents and returns one response for each. */
export class RequestForwarder {
  private readonly sender: HedgedRequestSender;

  constructor(
    private readonly router: ServiceRouter,
    private readonly limiter: RequestLimiter,
    agents: AgentDirectory,
    private readonly clock: Clock,
    private readonly observer: RequestObserver,
  ) {
    const upstreamSender = new UpstreamRequestSender(router, agents, clock);
    this.sender = new HedgedRequestSender(
      upstreamSender,
      router,
      clock,
      observer,
    );
  }

  /** Returns the final response to the request. Never rejects. */
  async forward(request: CallerRequest): Promise<ApiResponse> {
    const startedAt = this.clock.now();
    const result = await this.admitAndSend(request, startedAt);
    const responseMillis = this.clock.now() - startedAt;
    this.observer.onRequestEnd(request, result.outcome, responseMillis);
    return toApiResponse(request, result);
  }

  private async admitAndSend(
    request: CallerRequest,
    startedAt: number,
  ): Promise<RequestAttemptResult> {
    const {team, service} = request;
    const admission = this.limiter.admit(team, service, startedAt);
    if (!admission.admitted) {
      return notRunResult(
        admission.code,
        admission.code.meaning,
        admission.retryAfterMillis,
      );
    }
    return this.sendWithRetries(request, startedAt);
  }

  /** Retries on other agents while that is safe and within the retry budget. */
  private async sendWithRetries(
    request: CallerRequest,
    startedAt: number,
  ): Promise<RequestAttemptResult> {
    const deadlineAt = startedAt + request.deadlineMillis;
    const triedAgents = new Set<string>();
    let failure: FailedRequestAttempt | undefined;
    let mayHaveRun = false;
    for (let attempt = 0; attempt < MAXIMUM_REQUEST_ATTEMPTS; attempt++) {
      const now = this.clock.now();
      if (failure && !this.mayRetry(request, failure, now, deadlineAt)) break;
      if (failure) this.observer.onRetry(request, failure.reason);
      const result = await this.sender.send(request, deadlineAt, triedAgents);
      if (!result) break;
      if (result.outcome === ServeOutcome.ANSWERED) return result;
      if (result.outcome === ServeOutcome.UNKNOWN) mayHaveRun = true;
      failure = result;
    }
    return this.finalFailure(request, failure, mayHaveRun);
  }

  private mayRetry(
    request: CallerRequest,
    failure: FailedRequestAttempt,
    now: number,
    deadlineAt: number,
  ): boolean {
    if (now >= deadlineAt) return false;
    const isSafe =
      failure.outcome === ServeOutcome.NOT_RUN || request.idempotent;
    return isSafe && this.router.mayRetry(request.service, now);
  }

  /** If any attempt may have run, the outcome of the request is unknown. */
  private finalFailure(
    request: CallerRequest,
    failure: FailedRequestAttempt | undefined,
    mayHaveRun: boolean,
  ): FailedRequestAttempt {
    if (!failure)
      return notRunResult(ResultCodes.DEADLINE_PASSED, 'no time left', 0);
    if (!mayHaveRun || failure.outcome === ServeOutcome.UNKNOWN) return failure;
    return unknownResult(
      `an earlier attempt of request ${request.requestId} may have run; the last one did not: ${failure.reason}`,
    );
  }
}

import type {RequestLimiter} from '../../decisions/admission/request_limiter.js';
import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import {ResultCodes} from '../../observability/result_codes.js';
import {ServeOutcome} from '../../protocol/links.js';
import type {Clock} from '../../utilities/clock.js';
import type {AgentDirectory} from '../agents/agent_directory.js';
import type {ApiAnswer} from '../http/api_types.js';
import {toAnswer} from './caller_answer.js';
import type {CallerRequest} from './caller_request.js';
import {HedgedTry} from './hedged_try.js';
import type {RequestObserver} from './request_observer.js';
import {notRun, unknown} from './try_result.js';
import type {FailedTry, TryResult} from './try_result.js';
import {UpstreamTry} from './upstream_try.js';

const MAXIMUM_REQUEST_ATTEMPTS = 3;

/** Forwards service requests to agents and returns one response for each. */
export class RequestForwarder {
  private readonly sender: HedgedTry;

  constructor(
    private readonly router: ServiceRouter,
    private readonly limiter: RequestLimiter,
    agents: AgentDirectory,
    private readonly clock: Clock,
    private readonly observer: RequestObserver,
  ) {
    const upstreamSender = new UpstreamTry(router, agents, clock);
    this.sender = new HedgedTry(upstreamSender, router, clock, observer);
  }

  /** Returns the final response to the request. Never rejects. */
  async forward(request: CallerRequest): Promise<ApiAnswer> {
    const startedAt = this.clock.now();
    const result = await this.admitAndSend(request, startedAt);
    const responseMillis = this.clock.now() - startedAt;
    this.observer.onRequestEnd(request, result.outcome, responseMillis);
    return toAnswer(request, result);
  }

  private async admitAndSend(
    request: CallerRequest,
    startedAt: number,
  ): Promise<TryResult> {
    const {team, service} = request;
    const admission = this.limiter.admit(team, service, startedAt);
    if (!admission.admitted) {
      return notRun(
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
  ): Promise<TryResult> {
    const deadlineAt = startedAt + request.deadlineMillis;
    const triedAgents = new Set<string>();
    let failure: FailedTry | undefined;
    let mayHaveRun = false;
    for (let attempt = 0; attempt < MAXIMUM_REQUEST_ATTEMPTS; attempt++) {
      const now = this.clock.now();
      if (failure && !this.mayRetry(request, failure, now, deadlineAt)) break;
      if (failure) this.observer.onRetry(request, failure.reason);
      const result = await this.sender.run(request, deadlineAt, triedAgents);
      if (!result) break;
      if (result.outcome === ServeOutcome.ANSWERED) return result;
      if (result.outcome === ServeOutcome.UNKNOWN) mayHaveRun = true;
      failure = result;
    }
    return this.finalFailure(request, failure, mayHaveRun);
  }

  private mayRetry(
    request: CallerRequest,
    failure: FailedTry,
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
    failure: FailedTry | undefined,
    mayHaveRun: boolean,
  ): FailedTry {
    if (!failure) return notRun(ResultCodes.DEADLINE_PASSED, 'no time left', 0);
    if (!mayHaveRun || failure.outcome === ServeOutcome.UNKNOWN) return failure;
    return unknown(
      `an earlier attempt of request ${request.requestId} may have run; the last one did not: ${failure.reason}`,
    );
  }
}

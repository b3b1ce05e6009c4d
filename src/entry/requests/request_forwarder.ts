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

const MAXIMUM_TRIES = 3;

/** Takes service requests to agents and brings back one final answer each. */
export class RequestForwarder {
  private readonly hedgedTry: HedgedTry;

  constructor(
    private readonly router: ServiceRouter,
    private readonly limiter: RequestLimiter,
    agents: AgentDirectory,
    private readonly clock: Clock,
    private readonly observer: RequestObserver,
  ) {
    const upstreamTry = new UpstreamTry(router, agents, clock);
    this.hedgedTry = new HedgedTry(upstreamTry, router, clock, observer);
  }

  /** The one final answer to the request; never rejects. */
  async forward(request: CallerRequest): Promise<ApiAnswer> {
    const startedAt = this.clock.now();
    const result = await this.admitAndTry(request, startedAt);
    const answerMillis = this.clock.now() - startedAt;
    this.observer.onRequestEnd(request, result.outcome, answerMillis);
    return toAnswer(request, result);
  }

  private async admitAndTry(
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
    return this.tryInTurn(request, startedAt);
  }

  /** Tries further agents while that is safe and within the budget. */
  private async tryInTurn(
    request: CallerRequest,
    startedAt: number,
  ): Promise<TryResult> {
    const deadlineAt = startedAt + request.deadlineMillis;
    const tried = new Set<string>();
    let last: FailedTry | undefined;
    let mayHaveRun = false;
    for (let trial = 0; trial < MAXIMUM_TRIES; trial++) {
      const now = this.clock.now();
      if (last && !this.mayTryAgain(request, last, now, deadlineAt)) break;
      if (last) this.observer.onRetry(request, last.reason);
      const result = await this.hedgedTry.run(request, deadlineAt, tried);
      if (!result) break;
      if (result.outcome === ServeOutcome.ANSWERED) return result;
      if (result.outcome === ServeOutcome.UNKNOWN) mayHaveRun = true;
      last = result;
    }
    return this.finalFailure(request, last, mayHaveRun);
  }

  private mayTryAgain(
    request: CallerRequest,
    last: FailedTry,
    now: number,
    deadlineAt: number,
  ): boolean {
    if (now >= deadlineAt) return false;
    const safe = last.outcome === ServeOutcome.NOT_RUN || request.idempotent;
    return safe && this.router.mayRetry(request.service, now);
  }

  /** An earlier try that may have run makes the whole request unknown. */
  private finalFailure(
    request: CallerRequest,
    last: FailedTry | undefined,
    mayHaveRun: boolean,
  ): FailedTry {
    if (!last) return notRun(ResultCodes.DEADLINE_PASSED, 'no time left', 0);
    if (!mayHaveRun || last.outcome === ServeOutcome.UNKNOWN) return last;
    return unknown(
      `an earlier try of ${request.requestId} may have run; then: ${last.reason}`,
    );
  }
}

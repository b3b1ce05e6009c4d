import {randomUUID} from 'node:crypto';
import type {RequestLimiter} from '../../decisions/admission/request_limiter.js';
import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import type {ServeReply} from '../../protocol/generated/burdockmoor.js';
import {ServeOutcome} from '../../protocol/links.js';
import {LinkError} from '../../protocol/link_error.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import type {AgentDirectory, AgentRecord} from '../agents/agent_directory.js';
import {upstreamReportOf} from '../agents/upstream_messages.js';
import {failureAnswer} from '../http/api_types.js';
import type {ApiAnswer} from '../http/api_types.js';
import {HOP_HEADERS} from './hop_headers.js';

const MAXIMUM_TRIES = 3;
const SERVER_ERROR = 500;
const HEDGE_DUE = Symbol('a second try is due');
const DEFAULT_RETRY_AFTER_MILLIS = 500;

/** A caller's request, its headers read and checked. */
export interface CallerRequest {
  readonly requestId: string;
  readonly service: string;
  readonly team: string;
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
  readonly body: Uint8Array;
  readonly deadlineMillis: number;
  readonly idempotent: boolean;
}

/** What one try on one agent came to. */
interface TryResult {
  readonly outcome: ServeOutcome;
  readonly code: ResultCode;
  readonly reason: string;
  readonly retryAfterMillis: number;
  readonly reply?: ServeReply;
}

/** Hears how requests end, for the metrics. */
export interface RequestObserver {
  onRequestEnd(
    request: CallerRequest,
    outcome: ServeOutcome,
    answerMillis: number,
  ): void;
  onRetry(request: CallerRequest, reason: string): void;
}

/** Takes service requests to agents and brings back one final answer each. */
export class RequestForwarder {
  constructor(
    private readonly router: ServiceRouter,
    private readonly limiter: RequestLimiter,
    private readonly agents: AgentDirectory,
    private readonly clock: Clock,
    private readonly observer: RequestObserver,
  ) {}

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
    let last: TryResult | undefined;
    let mayHaveRun = false;
    for (let trial = 0; trial < MAXIMUM_TRIES; trial++) {
      const now = this.clock.now();
      if (last && !this.mayTryAgain(request, last, now, deadlineAt)) break;
      if (last) this.observer.onRetry(request, last.reason);
      const result = await this.tryHedged(request, deadlineAt, tried);
      if (!result) break;
      if (result.outcome === ServeOutcome.ANSWERED) return result;
      if (result.outcome === ServeOutcome.UNKNOWN) mayHaveRun = true;
      last = result;
    }
    return this.finalFailure(request, last, mayHaveRun);
  }

  private mayTryAgain(
    request: CallerRequest,
    last: TryResult,
    now: number,
    deadlineAt: number,
  ): boolean {
    if (now >= deadlineAt) return false;
    const safe = last.outcome === ServeOutcome.NOT_RUN || request.idempotent;
    return safe && this.router.mayRetry(request.service, now);
  }

  /** One try, and a second beside it when the first takes suspiciously long. */
  private async tryHedged(
    request: CallerRequest,
    deadlineAt: number,
    tried: Set<string>,
  ): Promise<TryResult | undefined> {
    const {service, idempotent} = request;
    const startedAt = this.clock.now();
    const known = new Set(tried);
    const first = this.tryOnce(request, deadlineAt - startedAt, tried);
    const delayMillis = this.router.hedgeDelayMillis(service, startedAt);
    if (!idempotent || delayMillis === undefined) return first;
    if (startedAt + delayMillis >= deadlineAt) return first;
    const early = await this.withinDelay(first, delayMillis);
    if (early !== HEDGE_DUE) return early;
    const now = this.clock.now();
    const [agentId] = [...tried].filter(name => !known.has(name));
    if (!this.router.mayHedge(service, now, agentId)) return first;
    this.observer.onRetry(request, 'the answer takes long');
    return bestOf(first, this.tryOnce(request, deadlineAt - now, tried));
  }

  private withinDelay(
    first: Promise<TryResult | undefined>,
    delayMillis: number,
  ): Promise<TryResult | undefined | typeof HEDGE_DUE> {
    return new Promise(resolve => {
      const timer = this.clock.schedule(delayMillis, () => resolve(HEDGE_DUE));
      void first.then(result => {
        timer.cancel();
        resolve(result);
      });
    });
  }

  /** Undefined when no agent is left to try. */
  private async tryOnce(
    request: CallerRequest,
    deadlineMillis: number,
    tried: Set<string>,
  ): Promise<TryResult | undefined> {
    const {service} = request;
    const chosenAt = this.clock.now();
    const choice = this.router.choose(
      {service, deadlineMillis, excluded: tried},
      chosenAt,
    );
    if (choice.kind === 'none') {
      if (tried.size > 0) return undefined;
      const {code, retryAfterMillis} = choice;
      return notRun(code, code.meaning, retryAfterMillis);
    }
    tried.add(choice.agentId);
    const agent = this.agents.find(choice.agentId);
    const result = agent
      ? await this.send(request, agent, deadlineMillis)
      : notRun(ResultCodes.NO_UPSTREAM, 'the agent is gone', 0);
    const now = this.clock.now();
    this.router.ended(
      choice.agentId,
      service,
      {
        outcome: result.outcome,
        answerMillis: now - chosenAt,
        failed: (result.reply?.status ?? 0) >= SERVER_ERROR,
      },
      now,
    );
    this.noteReport(choice.agentId, result.reply, now);
    return result;
  }

  private async send(
    request: CallerRequest,
    agent: AgentRecord,
    deadlineMillis: number,
  ): Promise<TryResult> {
    try {
      const reply = await agent.link.serve({
        requestId: request.requestId,
        service: request.service,
        team: request.team,
        method: request.method,
        path: request.path,
        headers: request.headers.map(([name, value]) => ({name, value})),
        body: Buffer.from(request.body),
        deadlineMillis: Math.max(1, Math.floor(deadlineMillis)),
        idempotent: request.idempotent,
      });
      return readReply(request, reply);
    } catch (error) {
      const neverSent = error instanceof LinkError && error.notSent;
      const reason = messageOf(error);
      if (neverSent) return notRun(ResultCodes.NO_UPSTREAM, reason, 0);
      return unknown(reason);
    }
  }

  private noteReport(
    agentId: string,
    reply: ServeReply | undefined,
    now: number,
  ): void {
    const agent = this.agents.find(agentId);
    if (!agent || !reply?.executor) return;
    const report = upstreamReportOf(agent.heartbeat, reply.executor);
    this.router.applyReport(report, now);
  }

  /** An earlier try that may have run makes the whole request unknown. */
  private finalFailure(
    request: CallerRequest,
    last: TryResult | undefined,
    mayHaveRun: boolean,
  ): TryResult {
    if (!last) return notRun(ResultCodes.DEADLINE_PASSED, 'no time left', 0);
    if (!mayHaveRun || last.outcome === ServeOutcome.UNKNOWN) return last;
    return unknown(
      `an earlier try of ${request.requestId} may have run; then: ${last.reason}`,
    );
  }
}

/** The first whole answer of two tries; otherwise what is known at the end. */
async function bestOf(
  first: Promise<TryResult | undefined>,
  second: Promise<TryResult | undefined>,
): Promise<TryResult | undefined> {
  const earlier = await Promise.race([first, second]);
  if (earlier?.outcome === ServeOutcome.ANSWERED) return earlier;
  const results = await Promise.all([first, second]);
  for (const outcome of [ServeOutcome.ANSWERED, ServeOutcome.UNKNOWN]) {
    const found = results.find(result => result?.outcome === outcome);
    if (found) return found;
  }
  return results[0] ?? results[1];
}

/** Accepts an answer only when it belongs to the request. */
function readReply(request: CallerRequest, reply: ServeReply): TryResult {
  if (reply.requestId !== request.requestId) {
    return unknown(`the answer belongs to request ${reply.requestId}`);
  }
  const {outcome, reason, retryAfterMillis} = reply;
  if (outcome === ServeOutcome.ANSWERED) {
    const code = ResultCodes.INTERNAL;
    return {outcome, code, reason, retryAfterMillis, reply};
  }
  if (outcome !== ServeOutcome.NOT_RUN) {
    return {...unknown(reason), reply};
  }
  const code = codeOf(reply.resultCode) ?? ResultCodes.NO_UPSTREAM;
  return {outcome, code, reason, retryAfterMillis, reply};
}

function notRun(
  code: ResultCode,
  reason: string,
  retryAfterMillis: number,
): TryResult {
  return {outcome: ServeOutcome.NOT_RUN, code, reason, retryAfterMillis};
}

function unknown(reason: string): TryResult {
  return {
    outcome: ServeOutcome.UNKNOWN,
    code: ResultCodes.OUTCOME_UNKNOWN,
    reason,
    retryAfterMillis: 0,
  };
}

function codeOf(number: number): ResultCode | undefined {
  for (const code of Object.values(ResultCodes)) {
    if (code.number === number) return code;
  }
  return undefined;
}

function toAnswer(request: CallerRequest, result: TryResult): ApiAnswer {
  const idHeader = ['x-request-id', request.requestId] as const;
  const {reply, outcome, code, reason} = result;
  if (outcome === ServeOutcome.ANSWERED && reply) {
    const headers = reply.headers
      .filter(header => !HOP_HEADERS.has(header.name.toLowerCase()))
      .map(header => [header.name, header.value] as const);
    return {
      status: reply.status,
      headers: [...headers, idHeader, ['x-outcome', outcome]],
      body: reply.body,
    };
  }
  const retryAfterMillis =
    outcome === ServeOutcome.NOT_RUN
      ? result.retryAfterMillis || DEFAULT_RETRY_AFTER_MILLIS
      : undefined;
  const answer = failureAnswer(code, `${code.meaning} (${reason})`, {
    details: {outcome, requestId: request.requestId},
    retryAfterMillis,
  });
  return {
    ...answer,
    headers: [...answer.headers, idHeader, ['x-outcome', outcome]],
  };
}

/** An id for a request that came without one. */
export function newRequestId(): string {
  return randomUUID();
}

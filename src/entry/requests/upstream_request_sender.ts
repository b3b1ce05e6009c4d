import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import {ResultCodes} from '../../observability/result_codes.js';
import type {ServeReply} from '../../protocol/generated/burdockmoor.js';
import {LinkError} from '../../protocol/link_error.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import type {AgentDirectory, AgentRecord} from '../agents/agent_directory.js';
import {upstreamReportOf} from '../agents/upstream_messages.js';
import type {CallerRequest} from './caller_request.js';
import {
  notRunResult,
  readReply,
  unknownResult,
} from './request_attempt_result.js';
import type {RequestAttemptResult} from './request_attempt_result.js';

const FIRST_SERVER_ERROR_STATUS = 500;

/** Sends a request to an agent chosen by the router, which gets the outcome. */
export class UpstreamRequestSender {
  constructor(
    private readonly router: ServiceRouter,
    private readonly agents: AgentDirectory,
    private readonly clock: Clock,
  ) {}

  /**
   * Sends the request to an agent that is not in `triedAgents`, and adds it.
   * Undefined when agents were tried and none is left. Never rejects.
   */
  async send(
    request: CallerRequest,
    deadlineMillis: number,
    triedAgents: Set<string>,
  ): Promise<RequestAttemptResult | undefined> {
    const {service} = request;
    const chosenAt = this.clock.now();
    const choice = this.router.choose(
      {service, deadlineMillis, excluded: triedAgents},
      chosenAt,
    );
    if (choice.kind === 'none') {
      if (triedAgents.size > 0) return undefined;
      const {code, retryAfterMillis} = choice;
      return notRunResult(code, code.meaning, retryAfterMillis);
    }
    triedAgents.add(choice.agentId);
    const agent = this.agents.find(choice.agentId);
    const result = agent
      ? await this.sendToAgent(request, agent, deadlineMillis)
      : notRunResult(
          ResultCodes.NO_UPSTREAM,
          'the agent is no longer registered',
          0,
        );
    const now = this.clock.now();
    this.router.ended(
      choice.agentId,
      service,
      {
        outcome: result.outcome,
        answerMillis: now - chosenAt,
        failed: (result.reply?.status ?? 0) >= FIRST_SERVER_ERROR_STATUS,
      },
      now,
    );
    this.applyReport(choice.agentId, result.reply, now);
    return result;
  }

  private async sendToAgent(
    request: CallerRequest,
    agent: AgentRecord,
    deadlineMillis: number,
  ): Promise<RequestAttemptResult> {
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
      const isNotSent = error instanceof LinkError && error.notSent;
      const reason = messageOf(error);
      if (isNotSent) return notRunResult(ResultCodes.NO_UPSTREAM, reason, 0);
      return unknownResult(reason);
    }
  }

  private applyReport(
    agentId: string,
    reply: ServeReply | undefined,
    now: number,
  ): void {
    const agent = this.agents.find(agentId);
    if (!agent || !reply?.executor) return;
    const report = upstreamReportOf(agent.heartbeat, reply.executor);
    this.router.applyReport(report, now);
  }
}

import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import {ResultCodes} from '../../observability/result_codes.js';
import type {ServeReply} from '../../protocol/generated/burdockmoor.js';
import {LinkError} from '../../protocol/link_error.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import type {AgentDirectory, AgentRecord} from '../agents/agent_directory.js';
import {upstreamReportOf} from '../agents/upstream_messages.js';
import type {CallerRequest} from './caller_request.js';
import {notRun, readReply, unknown} from './try_result.js';
import type {TryResult} from './try_result.js';

const SERVER_ERROR = 500;

/** Sends a request to one agent that the router chooses, and tells it the end. */
export class UpstreamTry {
  constructor(
    private readonly router: ServiceRouter,
    private readonly agents: AgentDirectory,
    private readonly clock: Clock,
  ) {}

  /**
   * Tries an agent that is not among the tried ones, and adds it to them.
   * Undefined when none is left. Never rejects.
   */
  async run(
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
}

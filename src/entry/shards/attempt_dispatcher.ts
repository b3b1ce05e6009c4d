import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {SettingsView} from '../../settings/settings_view.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import type {AgentDirectory, AgentRecord} from '../agents/agent_directory.js';
import {attemptReportOf} from '../agents/attempt_messages.js';
import type {ShardOwner} from './shard_owner.js';

type StartsDue = ReturnType<ShardOwner['scheduler']['startsDue']>[number];
type StopsDue = ReturnType<ShardOwner['scheduler']['stopsDue']>[number];
type QueriesDue = ReturnType<ShardOwner['scheduler']['queriesDue']>[number];

/**
 * Sends agents the queries, stops and starts that a shard's scheduler decided
 * on, and passes the replies to the scheduler. The scheduler repeats each of
 * them until it is confirmed, so lost calls are not retried here. At most one
 * call of a kind is in flight per agent and shard.
 */
export class AttemptDispatcher {
  private readonly inFlight = new Set<string>();

  constructor(
    private readonly agents: AgentDirectory,
    private readonly settings: SettingsView,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Sends all queries, stops and starts that are due. */
  dispatch(owner: ShardOwner): void {
    const now = this.clock.now();
    for (const query of owner.scheduler.queriesDue(now)) {
      this.callAgent(owner, 'query', query.vm, agent =>
        this.sendQuery(owner, agent, query),
      );
    }
    for (const stop of owner.scheduler.stopsDue(now)) {
      this.callAgent(owner, 'stop', stop.vm, agent =>
        this.sendStop(owner, agent, stop),
      );
    }
    for (const start of owner.scheduler.startsDue(now)) {
      this.callAgent(owner, 'start', start.vm, agent =>
        this.sendStarts(owner, agent, start),
      );
    }
  }

  private callAgent(
    owner: ShardOwner,
    kind: string,
    vm: string,
    send: (agent: AgentRecord) => Promise<void>,
  ): void {
    const agent = this.agents.find(vm);
    const key = `${owner.shard}/${kind}/${vm}`;
    if (!agent || this.inFlight.has(key)) return;
    this.inFlight.add(key);
    send(agent)
      .catch((error: unknown) => {
        this.logger.event(Events.AGENT_CALL_FAILED, {
          vm,
          kind,
          shard: owner.shard,
          reason: messageOf(error),
        });
      })
      .finally(() => this.inFlight.delete(key));
  }

  private async sendStarts(
    owner: ShardOwner,
    agent: AgentRecord,
    due: StartsDue,
  ): Promise<void> {
    const reply = await agent.link.startAttempts({
      agentId: agent.agentId,
      incarnation: due.incarnation,
      shard: owner.shard,
      epoch: owner.epoch,
      agentTime: agent.heartbeat.agentTime,
      settingsRevision: this.settings.revision,
      starts: [...due.starts],
    });
    if (owner.isDropped) return;
    const results = reply.results.map(result => ({
      ...result,
      name: result.name!,
    }));
    owner.scheduler.applyStartResults(
      due.vm,
      results,
      this.clock.now(),
      this.clock.wallTime(),
    );
    owner.scheduleCommit();
  }

  private async sendStop(
    owner: ShardOwner,
    agent: AgentRecord,
    due: StopsDue,
  ): Promise<void> {
    await agent.link.stopAttempts({
      shard: owner.shard,
      epoch: owner.epoch,
      stops: [...due.stops],
    });
  }

  private async sendQuery(
    owner: ShardOwner,
    agent: AgentRecord,
    due: QueriesDue,
  ): Promise<void> {
    const reply = await agent.link.queryAttempts({
      shard: owner.shard,
      epoch: owner.epoch,
      names: [...due.names],
    });
    if (owner.isDropped || !reply.accepted) return;
    const states = reply.states.map(state => ({
      name: state.name!,
      running: state.running,
      report: state.report && attemptReportOf(state.report),
    }));
    owner.scheduler.applyQueryStates(
      due.vm,
      reply.incarnation,
      states,
      this.clock.now(),
      this.clock.wallTime(),
    );
    owner.scheduleCommit();
  }
}

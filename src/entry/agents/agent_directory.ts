import {randomBytes} from 'node:crypto';
import type {VmView} from '../../decisions/placement/vm_table.js';
import type {
  HeartbeatRequest,
  Resources as ResourcesMessage,
} from '../../protocol/generated/burdockmoor.js';
import {applyDelta, isFullHeartbeat} from '../../protocol/heartbeat_delta.js';
import type {AgentLink, LinkFactory} from '../../protocol/links.js';
import {NO_RESOURCES} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';

/** An agent without a heartbeat for this long is removed. */
const REMOVE_AFTER_MILLIS = 600_000;
/** An agent without a heartbeat for this long gets no new requests. */
const SILENT_AFTER_MILLIS = 5_000;

const SESSION_BYTES = 6;

/** An agent as described by its heartbeats. */
export interface AgentRecord {
  readonly agentId: string;
  /** Identifies this incarnation of the agent in this run of the entry. */
  readonly session: number;
  /** The full heartbeat, also when a delta was sent. */
  readonly heartbeat: HeartbeatRequest;
  /** Arrival time of the heartbeat, by this entry's clock. */
  readonly lastHeartbeatAt: number;
  readonly link: AgentLink;
}

/** The agents that report to this entry, with the links to them. */
export class AgentDirectory {
  private readonly agents = new Map<string, AgentRecord>();
  /** Agents' ids by session. */
  private readonly agentIdBySession = new Map<number, string>();
  private lastNewAgentAt = Infinity;

  constructor(private readonly links: LinkFactory) {}

  /** Returns the agent's last known state, however old its heartbeat. */
  find(agentId: string): AgentRecord | undefined {
    return this.agents.get(agentId);
  }

  /** All agents, including silent ones. */
  all(): Iterable<AgentRecord> {
    return this.agents.values();
  }

  /** The number of agents, including silent ones. */
  get size(): number {
    return this.agents.size;
  }

  /** Time since an unknown agent last reported; -Infinity if none ever did. */
  millisSinceNewAgent(now: number): number {
    return now - this.lastNewAgentAt;
  }

  /** Expands a delta to a full heartbeat; undefined if its base is unknown. */
  toFullHeartbeat(request: HeartbeatRequest): HeartbeatRequest | undefined {
    if (isFullHeartbeat(request)) return request;
    const agentId = this.agentIdBySession.get(request.session);
    const known = agentId === undefined ? undefined : this.agents.get(agentId);
    return known && applyDelta(known.heartbeat, request);
  }

  /**
   * Applies a full heartbeat. Returns false and changes nothing if this one or
   * a newer one of the incarnation was applied before.
   */
  applyHeartbeat(heartbeat: HeartbeatRequest, now: number): boolean {
    const known = this.agents.get(heartbeat.agentId);
    if (known && isOutdated(heartbeat, known.heartbeat)) return false;
    if (!known) this.lastNewAgentAt = now;
    const isSameAddress = known?.heartbeat.address === heartbeat.address;
    if (known && !isSameAddress) known.link.close('the agent address changed');
    const link =
      known && isSameAddress
        ? known.link
        : this.links.openAgent(heartbeat.address);
    this.agents.set(heartbeat.agentId, {
      agentId: heartbeat.agentId,
      session: this.sessionOf(heartbeat, known),
      heartbeat,
      lastHeartbeatAt: now,
      link,
    });
    return true;
  }

  /** Agents with a recent heartbeat. */
  live(now: number): AgentRecord[] {
    return this.filter(agent => !isSilent(agent, now));
  }

  /** Agents without a recent heartbeat. */
  silent(now: number): AgentRecord[] {
    return this.filter(agent => isSilent(agent, now));
  }

  /** Removes agents that have been silent for REMOVE_AFTER_MILLIS. */
  removeLongSilent(now: number): void {
    for (const agent of this.agents.values()) {
      if (now - agent.lastHeartbeatAt < REMOVE_AFTER_MILLIS) continue;
      agent.link.close('the agent has sent no heartbeat for too long');
      this.agents.delete(agent.agentId);
      this.agentIdBySession.delete(agent.session);
    }
  }

  /** Closes the links and removes all agents. */
  close(reason: string): void {
    for (const agent of this.agents.values()) agent.link.close(reason);
    this.agents.clear();
    this.agentIdBySession.clear();
  }

  /** Each incarnation has its own session; deltas of others match nothing. */
  private sessionOf(
    {agentId, incarnation}: HeartbeatRequest,
    known: AgentRecord | undefined,
  ): number {
    if (known?.heartbeat.incarnation === incarnation) return known.session;
    if (known) this.agentIdBySession.delete(known.session);
    const session = 1 + randomBytes(SESSION_BYTES).readUIntBE(0, SESSION_BYTES);
    this.agentIdBySession.set(session, agentId);
    return session;
  }

  private filter(predicate: (agent: AgentRecord) => boolean): AgentRecord[] {
    return [...this.agents.values()].filter(predicate);
  }
}

/** Returns the schedulers' view of the VM. */
export function vmViewOf(
  heartbeat: HeartbeatRequest,
  targetTailMillis: (team: string, service: string) => number,
): VmView {
  return {
    vm: heartbeat.agentId,
    incarnation: heartbeat.incarnation,
    failureDomain: heartbeat.failureDomain,
    region: heartbeat.region,
    rack: heartbeat.rack,
    capacity: resourcesOf(heartbeat.capacity),
    committed: resourcesOf(heartbeat.committed),
    used: resourcesOf(heartbeat.used),
    draining: heartbeat.draining,
    stopping: heartbeat.stopping,
    recovering: heartbeat.recovering,
    runningAttempts: heartbeat.runningAttempts,
    services: heartbeat.executors.map(executor => ({
      service: executor.service,
      tailMillis: executor.tailMillis,
      targetMillis: targetTailMillis(executor.team, executor.service),
    })),
    interference: heartbeat.interference,
  };
}

function isSilent(agent: AgentRecord, now: number): boolean {
  return now - agent.lastHeartbeatAt > SILENT_AFTER_MILLIS;
}

function resourcesOf(message: ResourcesMessage | undefined): Resources {
  return message ?? NO_RESOURCES;
}

function isOutdated(
  heartbeat: HeartbeatRequest,
  known: HeartbeatRequest,
): boolean {
  const isSameIncarnation = heartbeat.incarnation === known.incarnation;
  return isSameIncarnation && heartbeat.sequence <= known.sequence;
}

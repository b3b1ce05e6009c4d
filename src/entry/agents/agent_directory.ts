import {randomBytes} from 'node:crypto';
import type {VmView} from '../../decisions/placement/vm_table.js';
import type {
  HeartbeatRequest,
  Resources as ResourcesMessage,
} from '../../protocol/generated/burdockmoor.js';
import {applyDelta, isFull} from '../../protocol/heartbeat_delta.js';
import type {AgentLink, LinkFactory} from '../../protocol/links.js';
import {NO_RESOURCES} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';

/** After this long without a heartbeat an agent is forgotten. */
const FORGET_AFTER_MILLIS = 600_000;
/** After this long without a heartbeat an agent gets no new requests. */
const SILENT_AFTER_MILLIS = 5_000;

const SESSION_BYTES = 6;

/** One agent as its heartbeats tell. */
export interface AgentRecord {
  readonly agentId: string;
  /** Names this run of the agent in this run of the entry. */
  readonly session: number;
  /** In full, whatever was sent. */
  readonly heartbeat: HeartbeatRequest;
  /** When the heartbeat came, by this entry's clock. */
  readonly heardAt: number;
  readonly link: AgentLink;
}

/** The agents that report to this entry, and the links to them. */
export class AgentDirectory {
  private readonly agents = new Map<string, AgentRecord>();
  /** Agents' ids by session. */
  private readonly sessions = new Map<number, string>();
  private newestSince = Infinity;

  constructor(private readonly links: LinkFactory) {}

  /** The agent as last heard, however long ago that was. */
  find(agentId: string): AgentRecord | undefined {
    return this.agents.get(agentId);
  }

  /** All agents, silent ones too. */
  all(): Iterable<AgentRecord> {
    return this.agents.values();
  }

  /** How many agents there are, silent ones too. */
  get size(): number {
    return this.agents.size;
  }

  /** How long the agents have been the same; -Infinity while there is none. */
  unchangedMillis(now: number): number {
    return now - this.newestSince;
  }

  /** The full heartbeat that was meant; undefined if its base isn't known. */
  complete(request: HeartbeatRequest): HeartbeatRequest | undefined {
    if (isFull(request)) return request;
    const agentId = this.sessions.get(request.session);
    const known = agentId === undefined ? undefined : this.agents.get(agentId);
    return known && applyDelta(known.heartbeat, request);
  }

  /**
   * Takes in a full heartbeat. An older one that was overtaken by a newer one of
   * the same run changes nothing, and gives false.
   */
  note(heartbeat: HeartbeatRequest, now: number): boolean {
    const known = this.agents.get(heartbeat.agentId);
    if (known && isOvertaken(heartbeat, known.heartbeat)) return false;
    if (!known) this.newestSince = now;
    const sameAddress = known?.heartbeat.address === heartbeat.address;
    if (known && !sameAddress) known.link.close('the agent moved');
    const link =
      known && sameAddress
        ? known.link
        : this.links.openAgent(heartbeat.address);
    this.agents.set(heartbeat.agentId, {
      agentId: heartbeat.agentId,
      session: this.sessionOf(heartbeat, known),
      heartbeat,
      heardAt: now,
      link,
    });
    return true;
  }

  /** Agents that were heard lately. */
  live(now: number): AgentRecord[] {
    return this.filter(agent => !isSilent(agent, now));
  }

  /** Agents that were not heard lately. */
  silent(now: number): AgentRecord[] {
    return this.filter(agent => isSilent(agent, now));
  }

  /** Forgets agents that have been silent for very long. */
  forgetLongSilent(now: number): void {
    for (const agent of this.agents.values()) {
      if (now - agent.heardAt < FORGET_AFTER_MILLIS) continue;
      agent.link.close('the agent has been silent for long');
      this.agents.delete(agent.agentId);
      this.sessions.delete(agent.session);
    }
  }

  /** Closes the links and forgets all agents. */
  close(reason: string): void {
    for (const agent of this.agents.values()) agent.link.close(reason);
    this.agents.clear();
    this.sessions.clear();
  }

  /** Each run of an agent has its own; a delta of another run fits nowhere. */
  private sessionOf(
    {agentId, incarnation}: HeartbeatRequest,
    known: AgentRecord | undefined,
  ): number {
    if (known?.heartbeat.incarnation === incarnation) return known.session;
    if (known) this.sessions.delete(known.session);
    const session = 1 + randomBytes(SESSION_BYTES).readUIntBE(0, SESSION_BYTES);
    this.sessions.set(session, agentId);
    return session;
  }

  private filter(accepts: (agent: AgentRecord) => boolean): AgentRecord[] {
    return [...this.agents.values()].filter(accepts);
  }
}

/** What schedulers see of the VM. */
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
  return now - agent.heardAt > SILENT_AFTER_MILLIS;
}

function resourcesOf(message: ResourcesMessage | undefined): Resources {
  return message ?? NO_RESOURCES;
}

function isOvertaken(
  heartbeat: HeartbeatRequest,
  known: HeartbeatRequest,
): boolean {
  const sameRun = heartbeat.incarnation === known.incarnation;
  return sameRun && heartbeat.sequence <= known.sequence;
}

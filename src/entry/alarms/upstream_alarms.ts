import {Events} from '../../observability/events.js';
import type {EventType} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {AgentDirectory, AgentRecord} from '../agents/agent_directory.js';
import {StateChangeTracker} from './state_change_tracker.js';

/** The state of an agent as seen by this entry. */
const UpstreamPhase = {
  OPEN: 'open',
  DRAINING: 'draining',
  SILENT: 'silent',
  /** Silent after a graceful shutdown. */
  LEFT: 'left',
} as const;
type UpstreamPhase = (typeof UpstreamPhase)[keyof typeof UpstreamPhase];

const PHASE_EVENTS: Readonly<Record<UpstreamPhase, EventType | undefined>> = {
  open: Events.UPSTREAM_RETURNED,
  draining: Events.UPSTREAM_DRAINING,
  silent: Events.UPSTREAM_LOST,
  left: undefined,
};

/**
 * Logs agents that join, drain, fall silent and return, and services that have
 * no upstream.
 */
export class UpstreamAlarms {
  private readonly phases = new StateChangeTracker<UpstreamPhase>();
  /** For each service, true if it has an upstream that accepts requests. */
  private readonly services = new StateChangeTracker<boolean>();

  constructor(
    private readonly agents: AgentDirectory,
    private readonly logger: Logger,
  ) {}

  /** Called about once a second. */
  check(now: number): void {
    const silent = new Set(this.agents.silent(now).map(agent => agent.agentId));
    const served = new Map<string, boolean>();
    for (const name of this.services.names()) served.set(name, false);
    for (const agent of this.agents.all()) {
      const isSilent = silent.has(agent.agentId);
      this.checkAgent(agent, isSilent);
      recordServedServices(served, agent, !isSilent);
    }
    this.forgetRemovedAgents();
    for (const [name, isServed] of served) this.checkService(name, isServed);
  }

  private checkAgent(agent: AgentRecord, isSilent: boolean): void {
    const {agentId, heartbeat} = agent;
    const phase = phaseOf(heartbeat.stopping, isSilent);
    const {changed, before} = this.phases.update(agentId, phase);
    if (!changed) return;
    const event =
      before === undefined && phase === UpstreamPhase.OPEN
        ? Events.UPSTREAM_JOINED
        : PHASE_EVENTS[phase];
    if (!event) return;
    const {failureDomain} = heartbeat;
    this.logger.event(event, {vm: agentId, failureDomain});
  }

  private checkService(service: string, isServed: boolean): void {
    const {changed, before} = this.services.update(service, isServed);
    if (!changed) return;
    if (!isServed) {
      this.logger.event(Events.SERVICE_WITHOUT_UPSTREAM, {service});
    } else if (before !== undefined) {
      this.logger.event(Events.SERVICE_SERVED_AGAIN, {service});
    }
  }

  private forgetRemovedAgents(): void {
    for (const name of this.phases.names()) {
      if (!this.agents.find(name)) this.phases.forget(name);
    }
  }
}

function phaseOf(stopping: boolean, isSilent: boolean): UpstreamPhase {
  if (isSilent) return stopping ? UpstreamPhase.LEFT : UpstreamPhase.SILENT;
  return stopping ? UpstreamPhase.DRAINING : UpstreamPhase.OPEN;
}

function recordServedServices(
  served: Map<string, boolean>,
  {heartbeat}: AgentRecord,
  isLive: boolean,
): void {
  for (const executor of heartbeat.executors) {
    const takesRequests =
      isLive &&
      !heartbeat.stopping &&
      !executor.draining &&
      !executor.unavailable;
    const isServed = served.get(executor.service) ?? false;
    served.set(executor.service, isServed || takesRequests);
  }
}

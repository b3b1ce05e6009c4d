import type {SettingsView} from '../../settings/settings_view.js';
import type {AgentDirectory} from '../agents/agent_directory.js';

/** A process that sent nothing for longer, or that shuts down, is left out. */
const EXPIRY_MILLIS = 30_000;

/** The settings revision in force in one process. */
export interface ProcessStatus {
  readonly processId: string;
  readonly role: string;
  readonly settingsRevision: number;
  /** Time since the process reported the revision. */
  readonly ageMillis: number;
}

interface PeerStatus {
  readonly settingsRevision: number;
  readonly lastMessageAt: number;
}

/** The settings revisions in force in all known processes. */
export class ProcessStatuses {
  private readonly peers = new Map<string, PeerStatus>();

  constructor(
    private readonly entryId: string,
    private readonly settings: SettingsView,
    private readonly agents: AgentDirectory,
    /** True if the entry is registered and is not shutting down. */
    private readonly isActive: (entryId: string) => boolean,
  ) {}

  /** Records the settings revision that another entry reported. */
  recordPeer(entryId: string, settingsRevision: number, now: number): void {
    this.peers.set(entryId, {settingsRevision, lastMessageAt: now});
  }

  /** Returns this entry, the other entries, and the agents that report here. */
  all(now: number): ProcessStatus[] {
    const statuses: ProcessStatus[] = [this.ownStatus()];
    for (const [processId, peer] of this.peers) {
      const ageMillis = Math.round(now - peer.lastMessageAt);
      if (ageMillis > EXPIRY_MILLIS || !this.isActive(processId)) continue;
      const {settingsRevision} = peer;
      statuses.push({processId, role: 'entry', settingsRevision, ageMillis});
    }
    for (const agent of this.agents.all()) {
      const ageMillis = Math.round(now - agent.lastHeartbeatAt);
      if (ageMillis > EXPIRY_MILLIS || agent.heartbeat.stopping) continue;
      statuses.push({
        processId: agent.agentId,
        role: 'agent',
        settingsRevision: agent.heartbeat.settingsRevision,
        ageMillis,
      });
    }
    return statuses;
  }

  private ownStatus(): ProcessStatus {
    return {
      processId: this.entryId,
      role: 'entry',
      settingsRevision: this.settings.revision,
      ageMillis: 0,
    };
  }
}

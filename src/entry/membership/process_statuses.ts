import type {SettingsView} from '../../settings/settings_view.js';
import type {AgentDirectory} from '../agents/agent_directory.js';

/** A process silent for longer is left out, as is one that shuts down. */
const GONE_AFTER_MILLIS = 30_000;

/** The settings that one process has in force. */
export interface ProcessStatus {
  readonly processId: string;
  readonly role: string;
  readonly settingsRevision: number;
  /** How old this knowledge is. */
  readonly ageMillis: number;
}

interface PeerStatus {
  readonly settingsRevision: number;
  readonly heardAt: number;
}

/** Which process has which settings in force. */
export class ProcessStatuses {
  private readonly peers = new Map<string, PeerStatus>();

  constructor(
    private readonly entryId: string,
    private readonly settings: SettingsView,
    private readonly agents: AgentDirectory,
    /** Whether an entry is registered and is not shutting down. */
    private readonly isServing: (entryId: string) => boolean,
  ) {}

  /** Takes in what another entry told of itself. */
  notePeer(entryId: string, settingsRevision: number, now: number): void {
    this.peers.set(entryId, {settingsRevision, heardAt: now});
  }

  /** This entry, the other entries, and the agents that report here. */
  all(now: number): ProcessStatus[] {
    const statuses: ProcessStatus[] = [this.ownStatus()];
    for (const [processId, peer] of this.peers) {
      const ageMillis = Math.round(now - peer.heardAt);
      if (ageMillis > GONE_AFTER_MILLIS || !this.isServing(processId)) continue;
      const {settingsRevision} = peer;
      statuses.push({processId, role: 'entry', settingsRevision, ageMillis});
    }
    for (const agent of this.agents.all()) {
      const ageMillis = Math.round(now - agent.heardAt);
      if (ageMillis > GONE_AFTER_MILLIS || agent.heartbeat.stopping) continue;
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

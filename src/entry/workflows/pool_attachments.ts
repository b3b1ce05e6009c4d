import {longestLeaseLife} from '../../decisions/workflows/lease_life.js';
import type {WorkerView} from '../../decisions/workflows/worker_view.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Clock} from '../../utilities/clock.js';
import type {WorkerAttachment} from './worker_attachment.js';
import {agentOf} from './worker_roster.js';

export interface PoolAttachmentsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly runLeaseMillis: number;
  /** Life of the owner's lease: its predecessor may have acted that long. */
  readonly ownerTtlMillis: number;
}

/**
 * The agents that are attached to the owner of a pool, and until when the
 * workers of those that are not may still run something.
 */
export class PoolAttachments {
  private readonly attachments = new Map<string, WorkerAttachment>();
  private readonly lastGrants = new Map<string, number>();
  private readonly ownedSince: number;

  constructor(private readonly options: PoolAttachmentsOptions) {
    this.ownedSince = options.clock.now();
  }

  /** The agent has said who it is. */
  add(attachment: WorkerAttachment): void {
    const {agent} = attachment;
    const before = this.attachments.get(agent);
    if (before === attachment) return;
    this.attachments.set(agent, attachment);
    before?.close('the agent has attached anew');
  }

  remove(attachment: WorkerAttachment, reason: string): void {
    const {agent, view, grantedAt} = attachment;
    this.noteGrant(agent, grantedAt);
    if (this.attachments.get(agent) !== attachment) return;
    this.attachments.delete(agent);
    this.options.logger.event(Events.WORKER_GONE, {
      worker: view?.key ?? agent,
      reason,
    });
  }

  /** The stream to a worker, if its agent is attached and it is that life. */
  to(worker: string): WorkerAttachment | undefined {
    const attachment = this.attachments.get(agentOf(worker));
    return attachment?.view?.key === worker ? attachment : undefined;
  }

  /** Whether the view is of the worker that its agent has now. */
  isCurrent(view: WorkerView): boolean {
    return this.attachments.get(view.agent)?.view === view;
  }

  hasAgent(agent: string): boolean {
    return this.attachments.has(agent);
  }

  /** Remembers the leases that were granted since the last call. */
  noteGrants(): void {
    for (const {agent, grantedAt} of this.attachments.values()) {
      this.noteGrant(agent, grantedAt);
    }
  }

  /** Whether the worker's lease has ended, as nobody can have prolonged it. */
  hasLapsed(worker: string): boolean {
    const {clock, ownerTtlMillis, runLeaseMillis} = this.options;
    const granted = this.lastGrants.get(agentOf(worker)) ?? -Infinity;
    // The owner before this one may not have known of its end at once.
    const last = Math.max(granted, this.ownedSince + ownerTtlMillis);
    return clock.now() > last + longestLeaseLife(runLeaseMillis);
  }

  close(reason: string): void {
    for (const attachment of [...this.attachments.values()]) {
      attachment.close(reason);
    }
  }

  private noteGrant(agent: string, grantedAt: number): void {
    const last = this.lastGrants.get(agent) ?? -Infinity;
    this.lastGrants.set(agent, Math.max(last, grantedAt));
  }
}

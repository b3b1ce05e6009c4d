import {guaranteedExpiryMillis} from '../../decisions/workflows/lease_duration.js';
import type {WorkerView} from '../../decisions/workflows/worker_view.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Clock} from '../../utilities/clock.js';
import type {WorkerAttachment} from './worker_attachment.js';
import {agentOf} from './worker_registry.js';

export interface PoolAttachmentsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly runLeaseMillis: number;
  /** From then on no earlier owner can act, on the monotonic clock. */
  readonly soleSince: number;
}

/** What bounds the time of the last lease that a worker may hold. */
export const LeaseBasis = {
  /** This owner granted it. */
  GRANT: 'grant',
  /** An earlier owner may have granted it until its own lease expired. */
  HAND_OVER: 'hand_over',
  /** The agent has extended no lease of this worker since then. */
  AGENT: 'agent',
} as const;
export type LeaseBasis = (typeof LeaseBasis)[keyof typeof LeaseBasis];

/** The latest time at which a worker's lease may have been granted. */
export interface LastGrant {
  readonly at: number;
  readonly basis: LeaseBasis;
}

/**
 * The agents attached to the owner of a pool. For workers of other agents,
 * tells whether their leases have expired, so that they can't run anything any more.
 */
export class PoolAttachments {
  private readonly attachments = new Map<string, WorkerAttachment>();
  /** Time of the last lease granted to each incarnation of a worker. */
  private readonly lastGrants = new Map<string, number>();

  constructor(private readonly options: PoolAttachmentsOptions) {}

  /** Called when the agent has identified itself. */
  add(attachment: WorkerAttachment): void {
    const {agent} = attachment;
    const before = this.attachments.get(agent);
    if (before === attachment) return;
    this.attachments.set(agent, attachment);
    before?.close('the agent has attached again');
  }

  remove(attachment: WorkerAttachment, reason: string): void {
    const {agent, view} = attachment;
    if (this.attachments.get(agent) !== attachment) return;
    this.attachments.delete(agent);
    this.options.logger.event(Events.WORKER_GONE, {
      worker: view?.key ?? agent,
      reason,
    });
  }

  /** Returns the stream to a worker if this incarnation is attached. */
  find(worker: string): WorkerAttachment | undefined {
    const attachment = this.attachments.get(agentOf(worker));
    return attachment?.view?.key === worker ? attachment : undefined;
  }

  /** True if the view is of its agent's current worker. */
  isCurrent(view: WorkerView): boolean {
    return this.attachments.get(view.agent)?.view === view;
  }

  hasAgent(agent: string): boolean {
    return this.attachments.has(agent);
  }

  /** Records that the worker may hold a lease granted at the given time. */
  recordGrant(worker: string, grantedAt: number): void {
    const last = this.lastGrants.get(worker) ?? -Infinity;
    this.lastGrants.set(worker, Math.max(last, grantedAt));
  }

  /** Discards the grants of workers whose leases have expired. */
  discardExpiredGrants(): void {
    for (const worker of this.lastGrants.keys()) {
      if (this.hasExpired(worker)) this.lastGrants.delete(worker);
    }
  }

  /** True if the worker's lease has expired: nobody can have renewed it. */
  hasExpired(worker: string): boolean {
    return this.leaseLeftMillis(worker) < 0;
  }

  /** Returns the time until the worker's lease has expired for sure. */
  leaseLeftMillis(worker: string): number {
    const {clock, runLeaseMillis} = this.options;
    const {at} = this.lastGrantOf(worker);
    return at + guaranteedExpiryMillis(runLeaseMillis) - clock.now();
  }

  lastGrantOf(worker: string): LastGrant {
    const granted = this.lastGrants.get(worker) ?? -Infinity;
    const earlier = this.lastGrantOfEarlierOwners(worker);
    if (granted < earlier.at) return earlier;
    return {at: granted, basis: LeaseBasis.GRANT};
  }

  /**
   * Leases of an earlier owner went through the worker's agent. An agent that
   * was heard once no earlier owner could act any more knows until when.
   */
  private lastGrantOfEarlierOwners(worker: string): LastGrant {
    const handOver = this.options.soleSince;
    const attachment = this.attachments.get(agentOf(worker));
    const byHandOver = {at: handOver, basis: LeaseBasis.HAND_OVER};
    if (!attachment || attachment.hasNamed(worker)) return byHandOver;
    const {exclusiveSince, lastMessageAt} = attachment;
    if (lastMessageAt < handOver || exclusiveSince >= handOver)
      return byHandOver;
    return {at: exclusiveSince, basis: LeaseBasis.AGENT};
  }

  close(reason: string): void {
    for (const attachment of [...this.attachments.values()]) {
      attachment.close(reason);
    }
  }
}

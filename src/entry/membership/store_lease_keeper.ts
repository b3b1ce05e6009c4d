import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Store} from '../../backends/store.js';
import type {Clock} from '../../utilities/clock.js';
import {messageOf} from '../../utilities/base_error.js';

const LEASE_MILLIS = 9_000;
const RENEWALS_PER_LEASE = 3;
/** Covers clock drift and the store's rounding of lease times. */
const SAFETY_MARGIN_MILLIS = 1_500;

/** Notified when a lease is granted and when it is lost. */
export interface StoreLeaseObserver {
  onLeaseGranted(leaseId: string): void;
  onLeaseLost(reason: string): void;
}

/**
 * Keeps one lease in the platform's store. Its validity is counted from the
 * sending of the last successful renewal, so this process stops relying on the
 * lease before the store lets other processes see that it expired.
 */
export class StoreLeaseKeeper {
  private leaseId: string | undefined;
  private validUntil = -Infinity;
  private busy = false;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly observer: StoreLeaseObserver,
  ) {}

  /** The period at which `renew` must be called. */
  static get renewalPeriodMillis(): number {
    return LEASE_MILLIS / RENEWALS_PER_LEASE;
  }

  /** The lease's id while the lease is guaranteed to be valid. */
  get currentLeaseId(): string | undefined {
    return this.isValid() ? this.leaseId : undefined;
  }

  /** True if no other process can have seen this lease expire. */
  isValid(): boolean {
    return this.clock.now() < this.validUntil;
  }

  /** Renews the lease, or requests a new one if there is none. */
  async renew(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    try {
      if (this.leaseId === undefined) await this.grant();
      else await this.keepAlive(this.leaseId);
    } catch (error) {
      this.handleFailure(messageOf(error));
    } finally {
      this.busy = false;
    }
  }

  /** Revokes the lease, so that others need not wait until it expires. */
  async release(): Promise<void> {
    const leaseId = this.leaseId;
    this.leaseId = undefined;
    this.validUntil = -Infinity;
    if (leaseId !== undefined) await this.store.revokeLease(leaseId);
  }

  private async grant(): Promise<void> {
    const sentAt = this.clock.now();
    const lease = await this.store.grantLease(LEASE_MILLIS);
    this.leaseId = lease.id;
    this.validUntil = sentAt + lease.ttlMillis - SAFETY_MARGIN_MILLIS;
    this.observer.onLeaseGranted(lease.id);
  }

  private async keepAlive(leaseId: string): Promise<void> {
    const sentAt = this.clock.now();
    const remainingMillis = await this.store.keepLeaseAlive(leaseId);
    if (this.leaseId !== leaseId) return;
    if (remainingMillis <= 0) return this.lose('it expired in the store');
    if (!this.isValid()) return this.lose('it was renewed too late');
    this.validUntil = sentAt + remainingMillis - SAFETY_MARGIN_MILLIS;
  }

  private handleFailure(message: string): void {
    if (this.leaseId === undefined || this.isValid()) return;
    this.lose(message);
  }

  private lose(reason: string): void {
    this.leaseId = undefined;
    this.validUntil = -Infinity;
    this.logger.event(Events.ENTRY_LEASE_LOST, {reason});
    this.observer.onLeaseLost(reason);
  }
}

import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Store} from '../../backends/store.js';
import type {Clock} from '../../utilities/clock.js';
import {messageOf} from '../../utilities/base_error.js';

const LEASE_MILLIS = 9_000;
const RENEWALS_IN_A_LEASE = 3;
/** Covers clocks that run at different speeds and the store's rounding. */
const SAFETY_MARGIN_MILLIS = 1_500;

/** Learns when the lease is gone, so that a new one has to be built upon. */
export interface StoreLeaseObserver {
  onLeaseGranted(leaseId: string): void;
  onLeaseLost(reason: string): void;
}

/**
 * Holds one lease in the platform's store. How long it is valid is counted from
 * the sending of the last renewal that succeeded, so this process stops relying
 * on the lease before the store lets others see that it lapsed.
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

  /** How often `renew` is to be called. */
  static get renewalPeriodMillis(): number {
    return LEASE_MILLIS / RENEWALS_IN_A_LEASE;
  }

  /** The lease's id while it surely holds. */
  get currentLeaseId(): string | undefined {
    return this.holds() ? this.leaseId : undefined;
  }

  /** Whether nobody else can have seen this lease lapse. */
  holds(): boolean {
    return this.clock.now() < this.validUntil;
  }

  /** Renews the lease, or takes a new one when there is none. */
  async renew(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    try {
      if (this.leaseId === undefined) await this.grant();
      else await this.keepAlive(this.leaseId);
    } catch (error) {
      this.noteFailure(messageOf(error));
    } finally {
      this.busy = false;
    }
  }

  /** Gives the lease back, so that others need not wait for it to lapse. */
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
    const leftMillis = await this.store.keepLeaseAlive(leaseId);
    if (this.leaseId !== leaseId) return;
    if (leftMillis <= 0) return this.lose('the store says that it lapsed');
    if (!this.holds()) return this.lose('it was renewed too late');
    this.validUntil = sentAt + leftMillis - SAFETY_MARGIN_MILLIS;
  }

  private noteFailure(message: string): void {
    if (this.leaseId === undefined || this.holds()) return;
    this.lose(message);
  }

  private lose(reason: string): void {
    this.leaseId = undefined;
    this.validUntil = -Infinity;
    this.logger.event(Events.ENTRY_LEASE_LOST, {reason});
    this.observer.onLeaseLost(reason);
  }
}

/** A lease from a shard's owner. Times are by the agent's clock. */
export interface ShardLeaseState {
  readonly shard: number;
  readonly epoch: number;
  readonly entryId: string;
  /** When the right to run the shard's attempts ends. */
  readonly endsAt: number;
}

/**
 * The leases for the attempts of each shard, and the highest epoch seen of each
 * shard. Requests with a lower epoch are rejected.
 */
export class ShardLeases {
  private readonly epochs = new Map<number, number>();
  private readonly leases = new Map<number, ShardLeaseState>();

  /** Returns the highest epoch seen of the shard; 0 before any. */
  highestEpoch(shard: number): number {
    return this.epochs.get(shard) ?? 0;
  }

  /** Records an epoch; returns false if the shard has a newer owner. */
  fence(shard: number, epoch: number): boolean {
    if (epoch < this.highestEpoch(shard)) return false;
    this.epochs.set(shard, epoch);
    return true;
  }

  /**
   * Applies a lease; returns false if the shard has a newer owner. A lease of
   * the same epoch never ends earlier than granted before. A new owner doesn't
   * know the end that its predecessor granted, so its own lease replaces that.
   */
  renew(lease: ShardLeaseState): boolean {
    if (!this.fence(lease.shard, lease.epoch)) return false;
    const known = this.leases.get(lease.shard);
    const grantedUntil =
      known?.epoch === lease.epoch ? known.endsAt : -Infinity;
    const endsAt = Math.max(lease.endsAt, grantedUntil);
    this.leases.set(lease.shard, {...lease, endsAt});
    return true;
  }

  /**
   * True if the shard's lease is from the newest owner seen. That owner doesn't
   * know the end of a lease from an earlier one.
   */
  isFromNewestOwner(shard: number): boolean {
    return this.leases.get(shard)?.epoch === this.highestEpoch(shard);
  }

  /** Returns when the shard's lease ends; -Infinity without one. */
  endsAt(shard: number): number {
    return this.leases.get(shard)?.endsAt ?? -Infinity;
  }

  /** Returns the id of the entry that last sent a lease for the shard. */
  ownerOf(shard: number): string | undefined {
    return this.leases.get(shard)?.entryId;
  }

  all(): ShardLeaseState[] {
    return [...this.leases.values()];
  }
}

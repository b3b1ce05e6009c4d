/** What an agent knows of a shard's owner. Times are of the agent's clock. */
export interface ShardLeaseState {
  readonly shard: number;
  readonly epoch: number;
  readonly entryId: string;
  /** The shard's attempts may run until then. */
  readonly endsAt: number;
}

/**
 * The leases on the attempts of each shard, and the highest epoch seen of each
 * shard, below which nothing is obeyed.
 */
export class ShardLeases {
  private readonly epochs = new Map<number, number>();
  private readonly leases = new Map<number, ShardLeaseState>();

  /** The highest epoch seen of the shard; 0 before any. */
  highestEpoch(shard: number): number {
    return this.epochs.get(shard) ?? 0;
  }

  /** Takes in an epoch; false when the shard has a newer owner. */
  fence(shard: number, epoch: number): boolean {
    if (epoch < this.highestEpoch(shard)) return false;
    this.epochs.set(shard, epoch);
    return true;
  }

  /**
   * Extends a lease; under one owner it never ends earlier than it was said to.
   * A new owner doesn't know what its predecessor granted, so its own counts.
   */
  renew(lease: ShardLeaseState): boolean {
    if (!this.fence(lease.shard, lease.epoch)) return false;
    const known = this.leases.get(lease.shard);
    const granted = known?.epoch === lease.epoch ? known.endsAt : -Infinity;
    const endsAt = Math.max(lease.endsAt, granted);
    this.leases.set(lease.shard, {...lease, endsAt});
    return true;
  }

  /** When the lease of the shard's attempts ends; -Infinity without one. */
  endsAt(shard: number): number {
    return this.leases.get(shard)?.endsAt ?? -Infinity;
  }

  /** The entry that owned the shard when it was last heard. */
  ownerOf(shard: number): string | undefined {
    return this.leases.get(shard)?.entryId;
  }

  all(): ShardLeaseState[] {
    return [...this.leases.values()];
  }
}

import {randomUUID} from 'node:crypto';
import {ABSENT_REVISION} from '../../backends/store.js';
import type {Store} from '../../backends/store.js';
import {preferredOwner} from './shard_assignment.js';

const OWNERS_PREFIX = 'shards/';
const OWNER_SUFFIX = '/owner';

/** How long only the preferred entry may claim a free shard. */
const PREFERRED_OWNER_WAIT_MILLIS = 4_000;

interface OwnerRecord {
  readonly entryId: string;
  readonly nonce: string;
}

interface KnownOwner {
  readonly entryId: string;
  readonly nonce: string;
  readonly revision: number;
}

/** The shards that an entry should claim, hand over and keep. */
export interface ClaimPlan {
  readonly claim: readonly number[];
  readonly handOver: readonly number[];
  /** Shards that this entry has already claimed and should still own. */
  readonly keep: readonly number[];
}

/**
 * The owners of the shards as last read from the store, and the claims of this
 * entry.
 */
export class ShardClaims {
  private readonly owners = new Map<number, KnownOwner>();
  private readonly freeSince = new Map<number, number>();
  private readonly ownNonces = new Map<number, string>();

  constructor(
    private readonly store: Store,
    private readonly entryId: string,
    private readonly shardCount: number,
  ) {}

  /** Returns the id of the entry that owns the shard, if any. */
  ownerOf(shard: number): string | undefined {
    return this.owners.get(shard)?.entryId;
  }

  /** True if the stored record of the shard is a claim of this process run. */
  isOwn(shard: number): boolean {
    const nonce = this.ownNonces.get(shard);
    return nonce !== undefined && this.owners.get(shard)?.nonce === nonce;
  }

  /** Reads the owners of all shards from the store again. */
  async refresh(now: number): Promise<void> {
    const result = await this.store.list(OWNERS_PREFIX);
    this.owners.clear();
    for (const stored of result.values) {
      const shard = Number(
        stored.key.slice(OWNERS_PREFIX.length, -OWNER_SUFFIX.length),
      );
      const record = JSON.parse(stored.value) as OwnerRecord;
      this.owners.set(shard, {...record, revision: stored.revision});
    }
    for (let shard = 0; shard < this.shardCount; shard++) {
      if (this.owners.has(shard)) this.freeSince.delete(shard);
      else if (!this.freeSince.has(shard)) this.freeSince.set(shard, now);
    }
  }

  /** Returns what to claim, hand over and keep, given the live entries. */
  plan(entryIds: readonly string[], now: number): ClaimPlan {
    const claim: number[] = [];
    const handOver: number[] = [];
    const keep: number[] = [];
    for (let shard = 0; shard < this.shardCount; shard++) {
      const preferred = preferredOwner(shard, entryIds);
      const freeSince = this.freeSince.get(shard);
      if (freeSince !== undefined) {
        const hasWaited = now - freeSince >= PREFERRED_OWNER_WAIT_MILLIS;
        if (preferred === this.entryId || hasWaited) claim.push(shard);
      } else if (this.isStaleOwnClaim(shard)) {
        claim.push(shard);
      } else if (this.isOwn(shard) && preferred !== this.entryId) {
        handOver.push(shard);
      } else if (this.isOwn(shard)) {
        keep.push(shard);
      }
    }
    return {claim, handOver, keep};
  }

  /**
   * Claims a free shard, or one with a stale claim of this entry, under the
   * lease; returns false if another entry was faster. The record only keeps
   * entries from competing for a shard: former owners are fenced by its log.
   */
  async claim(shard: number, leaseId: string): Promise<boolean> {
    const expected = this.isStaleOwnClaim(shard)
      ? this.owners.get(shard)!.revision
      : ABSENT_REVISION;
    const record: OwnerRecord = {
      entryId: this.entryId,
      nonce: randomUUID(),
    };
    const result = await this.store.compareAndSwap(
      ownerKey(shard),
      expected,
      JSON.stringify(record),
      {leaseId},
    );
    if (!result.succeeded) return false;
    this.ownNonces.set(shard, record.nonce);
    this.owners.set(shard, {...record, revision: result.revision});
    this.freeSince.delete(shard);
    return true;
  }

  /** Deletes an own claim so that another entry can claim the shard at once. */
  async release(shard: number): Promise<void> {
    const owner = this.owners.get(shard);
    if (!owner || !this.isOwn(shard)) return;
    this.ownNonces.delete(shard);
    await this.store.compareAndDelete(ownerKey(shard), owner.revision);
  }

  /** Called when the lease is lost, which invalidates all claims under it. */
  forgetOwnClaims(): void {
    this.ownNonces.clear();
  }

  /**
   * True if the stored claim is of this entry, but was made by an earlier
   * process run or under a lease that was lost.
   */
  private isStaleOwnClaim(shard: number): boolean {
    return this.ownerOf(shard) === this.entryId && !this.isOwn(shard);
  }
}

function ownerKey(shard: number): string {
  return `${OWNERS_PREFIX}${shard}${OWNER_SUFFIX}`;
}

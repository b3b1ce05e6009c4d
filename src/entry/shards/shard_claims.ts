import {randomUUID} from 'node:crypto';
import {ABSENT_REVISION} from '../../backends/store.js';
import type {Store} from '../../backends/store.js';
import {preferredOwner} from './shard_assignment.js';

const OWNERS_PREFIX = 'shards/';
const OWNER_SUFFIX = '/owner';

/** How long the preferred entry has before any other takes a free shard. */
const PREFERENCE_MILLIS = 4_000;

interface OwnerRecord {
  readonly entryId: string;
  readonly nonce: string;
}

interface KnownOwner {
  readonly entryId: string;
  readonly nonce: string;
  readonly revision: number;
}

/** What an entry should do about the shards. */
export interface ClaimPlan {
  readonly claim: readonly number[];
  readonly handOver: readonly number[];
  /** Claims held already that stay here. */
  readonly keep: readonly number[];
}

/** Who owns which shard, as the store last told, and what to claim. */
export class ShardClaims {
  private readonly owners = new Map<number, KnownOwner>();
  private readonly freeSince = new Map<number, number>();
  private readonly ownNonces = new Map<number, string>();

  constructor(
    private readonly store: Store,
    private readonly entryId: string,
    private readonly shardCount: number,
  ) {}

  /** Id of the entry that owns the shard, if any. */
  ownerOf(shard: number): string | undefined {
    return this.owners.get(shard)?.entryId;
  }

  /** Whether the store's record of the shard is this run's own. */
  isOwn(shard: number): boolean {
    const nonce = this.ownNonces.get(shard);
    return nonce !== undefined && this.owners.get(shard)?.nonce === nonce;
  }

  /** Reads all owners anew. */
  async refresh(now: number): Promise<void> {
    const listed = await this.store.list(OWNERS_PREFIX);
    this.owners.clear();
    for (const stored of listed.values) {
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

  /** What to claim and to hand over, given the entries that live. */
  plan(entryIds: readonly string[], now: number): ClaimPlan {
    const claim: number[] = [];
    const handOver: number[] = [];
    const keep: number[] = [];
    for (let shard = 0; shard < this.shardCount; shard++) {
      const preferred = preferredOwner(shard, entryIds);
      const freeSince = this.freeSince.get(shard);
      if (freeSince !== undefined) {
        const waited = now - freeSince >= PREFERENCE_MILLIS;
        if (preferred === this.entryId || waited) claim.push(shard);
      } else if (this.isOfEarlierRun(shard)) {
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
   * Claims a free shard, or one of an earlier run of this entry, under the
   * lease; false when someone was faster. The record keeps entries from racing;
   * what fences a former owner is the shard's log.
   */
  async claim(shard: number, leaseId: string): Promise<boolean> {
    const expected = this.isOfEarlierRun(shard)
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

  /** Gives up an own shard so that another entry can claim it at once. */
  async release(shard: number): Promise<void> {
    const owner = this.owners.get(shard);
    if (!owner || !this.isOwn(shard)) return;
    this.ownNonces.delete(shard);
    await this.store.compareAndDelete(ownerKey(shard), owner.revision);
  }

  /** The lease is gone, and with it all that was claimed under it. */
  forgetOwn(): void {
    this.ownNonces.clear();
  }

  /** A run of this entry that is no more left its record behind. */
  private isOfEarlierRun(shard: number): boolean {
    return this.ownerOf(shard) === this.entryId && !this.isOwn(shard);
  }
}

function ownerKey(shard: number): string {
  return `${OWNERS_PREFIX}${shard}${OWNER_SUFFIX}`;
}

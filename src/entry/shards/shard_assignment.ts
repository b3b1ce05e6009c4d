import {createHash} from 'node:crypto';

/** Returns the shard that stores all jobs of the team. */
export function shardOfTeam(team: string, shardCount: number): number {
  return hash(`team/${team}`) % shardCount;
}

/**
 * Returns the entry that should own the shard, by rendezvous hashing: when an
 * entry joins or leaves, only the shards of that entry move.
 */
export function preferredOwner(
  shard: number,
  entryIds: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const entryId of entryIds) {
    const weight = hash(`shard/${shard}/${entryId}`);
    if (weight <= bestWeight) continue;
    best = entryId;
    bestWeight = weight;
  }
  return best;
}

function hash(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}

import {createHash} from 'node:crypto';

/** The shard that holds all jobs of the team. */
export function shardOfTeam(team: string, shardCount: number): number {
  return hash(`team/${team}`) % shardCount;
}

/**
 * The entry that should own the shard, by highest random weight: when entries
 * come or go, only the shards of those entries move.
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

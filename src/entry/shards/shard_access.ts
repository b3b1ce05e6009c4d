import {ResultCodes} from '../../observability/result_codes.js';
import type {EntryLink, LinkFactory} from '../../protocol/links.js';
import {LinkError} from '../../protocol/link_error.js';
import {messageOf} from '../../utilities/base_error.js';
import {RETRY_AFTER_MILLIS, apiError} from '../http/api_types.js';
import type {ApiResponse, ApiCall} from '../http/api_types.js';
import {apiResponseOf, forwardRequestOf} from '../http/forwarded_calls.js';
import type {EntryRegistry} from '../membership/entry_registry.js';
import {shardOfTeam} from './shard_assignment.js';
import type {ShardClaims} from './shard_claims.js';
import type {ShardOwner} from './shard_owner.js';

const FORWARD_DEADLINE_MILLIS = 8_000;
/** Set on a call that another entry forwarded; it is not forwarded again. */
export const FORWARDED_HEADER = 'x-forwarded-by-entry';

/**
 * Runs calls on the owner of a team's shard: in this process, or by forwarding
 * them to the entry that owns the shard.
 */
export class ShardAccess {
  private readonly links = new Map<string, EntryLink>();

  constructor(
    private readonly options: {
      readonly entryId: string;
      readonly shardCount: number;
      readonly owned: ReadonlyMap<number, ShardOwner>;
      readonly claims: ShardClaims;
      readonly registry: EntryRegistry;
      readonly links: LinkFactory;
    },
  ) {}

  /**
   * Handles the call here if this entry owns the team's shard; otherwise
   * forwards it to the owner.
   */
  async runOnOwner(
    call: ApiCall,
    team: string,
    handle: (owner: ShardOwner) => Promise<ApiResponse>,
  ): Promise<ApiResponse> {
    const shard = shardOfTeam(team, this.options.shardCount);
    const owner = this.options.owned.get(shard);
    if (owner && !owner.isDropped) return handle(owner);
    return this.forward(call, shard);
  }

  /** Closes the links to the other entries. */
  close(reason: string): void {
    for (const link of this.links.values()) link.close(reason);
    this.links.clear();
  }

  private async forward(call: ApiCall, shard: number): Promise<ApiResponse> {
    const {claims, registry, entryId} = this.options;
    const ownerId = claims.ownerOf(shard);
    const record = ownerId ? registry.find(ownerId) : undefined;
    const isOwnEntry = ownerId === entryId;
    if (!record || isOwnEntry || call.headers.has(FORWARDED_HEADER)) {
      throw createUnavailableError(
        shard,
        'its owner is not available at the moment',
      );
    }
    try {
      return await this.send(call, record.processAddress);
    } catch (error) {
      const notSent = error instanceof LinkError && error.notSent;
      if (notSent) throw createUnavailableError(shard, messageOf(error));
      throw apiError(
        ResultCodes.STORE_OUTCOME_UNKNOWN,
        `Entry ${record.entryId} did not respond: ${messageOf(error)}`,
        {retryAfterMillis: RETRY_AFTER_MILLIS},
      );
    }
  }

  private async send(call: ApiCall, address: string): Promise<ApiResponse> {
    const request = forwardRequestOf(call, [
      [FORWARDED_HEADER, this.options.entryId],
    ]);
    const link = this.getOrOpenLink(address);
    return apiResponseOf(
      await link.forwardCall(request, FORWARD_DEADLINE_MILLIS),
    );
  }

  private getOrOpenLink(address: string): EntryLink {
    let link = this.links.get(address);
    if (!link) {
      link = this.options.links.openEntry(address);
      this.links.set(address, link);
    }
    return link;
  }
}

function createUnavailableError(shard: number, reason: string): Error {
  return apiError(
    ResultCodes.SHARD_UNAVAILABLE,
    `${ResultCodes.SHARD_UNAVAILABLE.meaning} Shard ${shard}: ${reason}.`,
    {retryAfterMillis: RETRY_AFTER_MILLIS},
  );
}

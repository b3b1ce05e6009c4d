import type {TransactionalStore} from '../../backends/transactional_store.js';
import {ABSENT_REVISION} from '../../backends/store.js';
import type {StoredValue} from '../../backends/store.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {
  decodeAgentRecord,
  encodeAgentRecord,
} from '../../protocol/agent_record.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {pause} from '../../utilities/pause.js';

const RETRY_MILLIS = 250;

/**
 * Earlier versions multiplied the revision of the agent's key by this number. A
 * worker accepts no lower token than it has seen, so the factor is kept where
 * such tokens may be in use.
 */
const LEGACY_TOKENS_PER_REVISION = 100_000;
/** Up to this revision, such tokens leave room below 2 to the power of 53. */
const MAXIMUM_LEGACY_REVISION = Math.floor(
  Number.MAX_SAFE_INTEGER / LEGACY_TOKENS_PER_REVISION / 2,
);

export interface FencingTokenOptions {
  readonly store: TransactionalStore;
  /** Key that only the agents of one name write. */
  readonly key: string;
  /** Unique to each process run. */
  readonly nonce: string;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The agent's key as last known. */
interface KeyState {
  readonly revision: number;
  /** Absent if the key is, as the first claim decides it. */
  readonly tokensPerRevision?: number;
  /** Nonce of the claim that wrote the key. */
  readonly nonce?: string;
}

/**
 * The fencing token of one process run of an agent. It exceeds those of earlier
 * runs, and is raised on demand to invalidate commands that got no response.
 *
 * Tokens are revisions of the store. A claim rewrites the agent's key on
 * condition of the revision of the claim before, and so owns the revisions in
 * between: raising the token needs no write until they are used up.
 */
export class FencingToken {
  private present = 0;
  /** The claimed revisions that are still unused; empty if next > last. */
  private next = 1;
  private last = 0;
  private tokensPerRevision = 1;
  private key: KeyState = {revision: ABSENT_REVISION};
  /** Nonce of the last claim that was written. */
  private claimedNonce: string | undefined;
  private claimCount = 0;
  private claiming: Promise<boolean> | undefined;
  private isSuperseded = false;
  private closed = false;

  constructor(private readonly options: FencingTokenOptions) {}

  /** 0 until the first claim was written. */
  get value(): number {
    return this.present * this.tokensPerRevision;
  }

  /**
   * Resolves to true once the value exceeds the token, which may have to wait for
   * the store. Resolves to false if this process run gets no further tokens: it
   * was closed, or another run of the agent has claimed the key.
   */
  async raiseAbove(token: number): Promise<boolean> {
    while (this.value <= token) {
      if (this.next <= this.last) this.present = this.next++;
      else if (!(await this.claim())) return false;
    }
    // Keeps a revision in reserve, as the store may be away for the next raise.
    if (this.next > this.last) void this.claim();
    return true;
  }

  close(): void {
    this.closed = true;
  }

  private claim(): Promise<boolean> {
    this.claiming ??= this.claimUntilDecided().finally(() => {
      this.claiming = undefined;
    });
    return this.claiming;
  }

  private async claimUntilDecided(): Promise<boolean> {
    const nonce = `${this.options.nonce}-${++this.claimCount}`;
    while (!this.closed && !this.isSuperseded) {
      try {
        if (this.isTaken) this.recordSuperseded();
        else if (await this.tryClaim(nonce)) return true;
      } catch (error) {
        const reason = messageOf(error);
        this.options.logger.event(Events.TOKEN_FAILED, {reason});
        await pause(this.options.clock, RETRY_MILLIS);
      }
    }
    return false;
  }

  /** True if another process run has claimed the key since this one did. */
  private get isTaken(): boolean {
    const {revision, nonce} = this.key;
    if (this.claimedNonce === undefined || revision === ABSENT_REVISION)
      return false;
    return nonce !== this.claimedNonce;
  }

  private recordSuperseded(): void {
    this.isSuperseded = true;
    this.options.logger.event(Events.TOKEN_SUPERSEDED, {
      fencingToken: this.value,
    });
  }

  /** False if the key was not as last known. */
  private async tryClaim(nonce: string): Promise<boolean> {
    const {store, key} = this.options;
    const before = this.key;
    const {tokensPerRevision} = before;
    const value = encodeAgentRecord({nonce, tokensPerRevision});
    const result = await store.transact({
      conditions: [{key, revision: before.revision}],
      puts: [{key, value}],
    });
    const written = result.succeeded
      ? {key, value, revision: result.revision}
      : result.current.find(item => item.key === key);
    this.key = written ? keyStateOf(written) : {revision: ABSENT_REVISION};
    // The response to an earlier attempt may have been lost.
    if (this.key.nonce !== nonce) return false;
    this.adopt(before, this.key);
    return true;
  }

  /** Without a claim before, only the revision of the claim itself is new. */
  private adopt(before: KeyState, written: KeyState): void {
    const isFirst = before.revision === ABSENT_REVISION;
    this.next = isFirst ? written.revision : before.revision + 1;
    this.last = written.revision;
    this.tokensPerRevision = written.tokensPerRevision ?? 1;
    this.claimedNonce = written.nonce;
  }
}

function keyStateOf({value, revision}: StoredValue): KeyState {
  const record = decodeAgentRecord(value);
  if (!record) {
    return {revision, tokensPerRevision: LEGACY_TOKENS_PER_REVISION};
  }
  const {nonce, tokensPerRevision = firstTokensPerRevision(revision)} = record;
  return {revision, nonce, tokensPerRevision};
}

/** An agent with legacy tokens may have lost its key. */
function firstTokensPerRevision(revision: number): number {
  return revision <= MAXIMUM_LEGACY_REVISION ? LEGACY_TOKENS_PER_REVISION : 1;
}

import {randomUUID} from 'node:crypto';
import {WriteOutcome} from '../backends/confirming_store.js';
import type {
  WriteResult,
  ConfirmingStore,
} from '../backends/confirming_store.js';
import {ABSENT_REVISION} from '../backends/store.js';
import type {Store} from '../backends/store.js';
import type {Clock} from '../utilities/clock.js';
import {
  SETTINGS_PREFIX,
  nextStoredBranch,
  readStoredBranch,
} from './settings_record.js';
import type {BranchVersion, StoredBranch} from './settings_record.js';

/** A branch as it is stored. */
export interface BranchContent {
  readonly branch: string;
  /** 0 for a branch that doesn't exist yet. */
  readonly revision: number;
  readonly stored?: StoredBranch;
}

/** The outcome of a write of a branch. */
export type BranchChange =
  | {readonly kind: 'written'; readonly content: BranchContent}
  | {readonly kind: 'conflict'; readonly content: BranchContent}
  | {readonly kind: 'notWritten'; readonly reason: string}
  | {readonly kind: 'unknown'; readonly reason: string};

/** Reads and changes settings branches in the store. */
export class SettingsBranchesStore {
  constructor(
    private readonly store: Store,
    private readonly settling: ConfirmingStore,
    private readonly clock: Clock,
  ) {}

  async read(branch: string): Promise<BranchContent> {
    const found = await this.store.get(SETTINGS_PREFIX + branch);
    if (!found) return {branch, revision: ABSENT_REVISION};
    const stored = readStoredBranch(found.value);
    return {branch, revision: found.revision, stored};
  }

  /** Writes the text if the branch still has the revision of `base`. */
  async change(
    base: BranchContent,
    change: {author: string; text: string},
  ): Promise<BranchChange> {
    const nonce = randomUUID();
    const stored = nextStoredBranch(base.stored, {
      ...change,
      wallTime: this.clock.wallTime(),
      nonce,
    });
    const settled = await this.settling.swap(
      SETTINGS_PREFIX + base.branch,
      base.revision,
      JSON.stringify(stored),
      {includesWrite: current => isBasedOnWrite(current.value, nonce)},
    );
    return this.toChange(base.branch, stored, settled);
  }

  private async toChange(
    branch: string,
    stored: StoredBranch,
    settled: WriteResult,
  ): Promise<BranchChange> {
    const {outcome, revision, reason = 'no response from the store'} = settled;
    if (outcome === WriteOutcome.WRITTEN) {
      return {kind: 'written', content: {branch, revision, stored}};
    }
    if (outcome === WriteOutcome.CONFLICT) {
      return {kind: 'conflict', content: await this.read(branch)};
    }
    if (outcome === WriteOutcome.NOT_WRITTEN) {
      return {kind: 'notWritten', reason};
    }
    return {kind: 'unknown', reason};
  }
}

/** True if the write with the nonce produced the value or an ancestor of it. */
function isBasedOnWrite(value: string, nonce: string): boolean {
  const stored = readStoredBranch(value);
  if (stored.nonce === nonce) return true;
  return stored.history.some(version => hasNonce(version, nonce));
}

function hasNonce(version: BranchVersion, nonce: string): boolean {
  return version.nonce === nonce;
}

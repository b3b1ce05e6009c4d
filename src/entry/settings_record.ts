/** Prefix of the keys of settings branches in the store. */
export const SETTINGS_PREFIX = 'settings/';

/** Earlier versions that are kept in addition to the current one. */
const MAXIMUM_HISTORY_VERSIONS = 20;
/** Limit on the total text of earlier versions; the oldest are dropped. */
const MAXIMUM_HISTORY_CHARACTERS = 400_000;

/** One accepted version of a branch. */
export interface BranchVersion {
  readonly version: number;
  readonly author: string;
  readonly wallTime: number;
  readonly text: string;
  /** Identifies the write, so that a read can settle a lost reply. */
  readonly nonce: string;
}

/** The stored value of a branch. */
export interface StoredBranch extends BranchVersion {
  /** Earlier versions, newest first. */
  readonly history: readonly BranchVersion[];
}

/** Parses the stored value of a branch. */
export function readStoredBranch(value: string): StoredBranch {
  return JSON.parse(value) as StoredBranch;
}

/** Returns the next value of a branch, with the current one in its history. */
export function nextStoredBranch(
  current: StoredBranch | undefined,
  change: {author: string; wallTime: number; text: string; nonce: string},
): StoredBranch {
  return {
    ...change,
    version: (current?.version ?? 0) + 1,
    history: current ? trimHistory(current) : [],
  };
}

function trimHistory(current: StoredBranch): BranchVersion[] {
  const {history, ...newest} = current;
  const versions: BranchVersion[] = [newest, ...history];
  const kept: BranchVersion[] = [];
  let characters = 0;
  for (const earlier of versions.slice(0, MAXIMUM_HISTORY_VERSIONS)) {
    characters += earlier.text.length;
    if (characters > MAXIMUM_HISTORY_CHARACTERS) break;
    kept.push(earlier);
  }
  return kept;
}

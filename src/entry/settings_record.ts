/** How a settings branch stands in the store. */
export const SETTINGS_PREFIX = 'settings/';

/** Versions kept beside the current one. */
const HISTORY_VERSIONS = 20;
/** Old versions go first when the value would grow past this. */
const HISTORY_CHARACTERS = 400_000;

/** One accepted version of a branch. */
export interface BranchVersion {
  readonly version: number;
  readonly author: string;
  readonly wallTime: number;
  readonly text: string;
  /** Distinguishes writes, so that a lost reply can be settled by reading. */
  readonly nonce: string;
}

/** The value at a branch's key. */
export interface StoredBranch extends BranchVersion {
  /** Earlier versions, newest first. */
  readonly history: readonly BranchVersion[];
}

/** Reads a value of the store that `StoredBranch` describes. */
export function readStoredBranch(value: string): StoredBranch {
  return JSON.parse(value) as StoredBranch;
}

/** The branch's next value, with the current one moved into the history. */
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
  for (const earlier of versions.slice(0, HISTORY_VERSIONS)) {
    characters += earlier.text.length;
    if (characters > HISTORY_CHARACTERS) break;
    kept.push(earlier);
  }
  return kept;
}

/** Store keys of the fleet's durable state; operators' keys are elsewhere. */

const ROOT = 'burdockmoor/';
const SPEC_PREFIX = `${ROOT}specs/`;
const PROGRESS_PREFIX = `${ROOT}progress/`;
const NEW_PREFIX = `${ROOT}inbox/new/`;
const CANCEL_PREFIX = `${ROOT}inbox/cancel/`;
const REFUSED_PREFIX = `${ROOT}refused/`;

export const StoreKeys = {
  /** Owner of the pool, attached to its lease; written at the claim. */
  OWNER: `${ROOT}owner`,
  /** Number of the owner's commits; rewritten by each commit. */
  COMMITS: `${ROOT}commits`,
  SPEC_PREFIX,
  PROGRESS_PREFIX,
  /** Accepted workflows and cancellations not yet applied by the owner. */
  INBOX_PREFIX: `${ROOT}inbox/`,
  NEW_PREFIX,
  CANCEL_PREFIX,
  REFUSED_PREFIX,
  ENTRY_PREFIX: `${ROOT}entries/`,
  /** What owners have learned about pairs of images. */
  LEARNED_INTERFERENCE: `${ROOT}learned/interference`,
} as const;

/** Key of the workflow that a customer submitted; written once. */
export function specKey(workflow: string): string {
  return SPEC_PREFIX + workflow;
}

/** Key of a workflow's progress; written only by the owner. */
export function progressKey(workflow: string): string {
  return PROGRESS_PREFIX + workflow;
}

export function newWorkflowKey(workflow: string): string {
  return NEW_PREFIX + workflow;
}

export function cancelKey(workflow: string): string {
  return CANCEL_PREFIX + workflow;
}

/**
 * Key that lists a refused workflow, for the removal of its record. It is
 * written and removed in the same transactions as the record at `specKey`, so
 * both have the same revision.
 */
export function refusedKey(workflow: string): string {
  return REFUSED_PREFIX + workflow;
}

export function entryKey(processName: string): string {
  return StoreKeys.ENTRY_PREFIX + processName;
}

/** Key written by each process run of an agent to claim fencing tokens. */
export function agentKey(processName: string): string {
  return `${ROOT}agents/${processName}`;
}

/** Returns the last segment of a key: the name of its workflow or process. */
export function lastKeySegment(key: string): string {
  return key.slice(key.lastIndexOf('/') + 1);
}

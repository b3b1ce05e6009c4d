/** Value stored at an agent's key; each claim of fencing tokens rewrites it. */
export interface AgentRecord {
  /** Unique to each claim. */
  readonly nonce: string;
  /**
   * Distance between the tokens of two successive revisions. Absent in the first
   * claim, whose revision decides it.
   */
  readonly tokensPerRevision?: number;
}

export function encodeAgentRecord(record: AgentRecord): string {
  return JSON.stringify(record);
}

/**
 * Returns undefined for the value of an earlier version, which is the name of
 * the process.
 */
export function decodeAgentRecord(text: string): AgentRecord | undefined {
  try {
    const record = JSON.parse(text) as Partial<AgentRecord> | null;
    const {nonce, tokensPerRevision} = record ?? {};
    if (typeof nonce !== 'string') return undefined;
    return {nonce, tokensPerRevision};
  } catch {
    // A process name is no JSON document.
    return undefined;
  }
}

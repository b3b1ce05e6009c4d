/** Thrown when something awaited did not come true in time. */
export class WaitError extends Error {}

export interface WaitOptions {
  readonly deadlineMillis: number;
  readonly pollMillis?: number;
}

const DEFAULT_POLL_MILLIS = 50;

/**
 * Polls until the value is there. Faults of a poll count as not there yet; the
 * last one is named when the deadline passes.
 */
export async function waitUntil<Value>(
  what: string,
  poll: () => Promise<Value | undefined> | Value | undefined,
  options: WaitOptions,
): Promise<Value> {
  const {deadlineMillis, pollMillis = DEFAULT_POLL_MILLIS} = options;
  const deadline = performance.now() + deadlineMillis;
  let last = 'no such state seen';
  while (performance.now() < deadline) {
    try {
      const value = await poll();
      if (value !== undefined) return value;
    } catch (thrown) {
      last = thrown instanceof Error ? thrown.message : String(thrown);
    }
    await pause(pollMillis);
  }
  throw new WaitError(`${what}: not within ${deadlineMillis} ms (${last})`);
}

export function pause(delayMillis: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMillis));
}

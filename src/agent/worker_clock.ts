/**
 * Converts times of the agent's clock to the worker's. The result can only be
 * earlier than the same moment on the worker's clock, since each reading was
 * taken before the answer that brought it arrived.
 */
export class WorkerClock {
  private offsetMillis: number | undefined;

  get isKnown(): boolean {
    return this.offsetMillis !== undefined;
  }

  /** Takes in a reading and the agent's time at which it arrived. */
  observe(workerTime: number, receivedAt: number): void {
    this.offsetMillis = workerTime - receivedAt;
  }

  /** The agent's time as the worker's; call only when the clock is known. */
  toWorkerTime(agentTime: number): number {
    return Math.floor(agentTime + (this.offsetMillis ?? -Infinity));
  }
}

/**
 * Converts times from the agent's clock to the worker's. The result is never
 * later than the same moment on the worker's clock, since each reading was
 * taken before the response that contains it arrived.
 */
export class WorkerClock {
  private offsetMillis: number | undefined;

  get isKnown(): boolean {
    return this.offsetMillis !== undefined;
  }

  /** Records a reading of the worker's clock and when it arrived. */
  observe(workerTime: number, receivedAt: number): void {
    this.offsetMillis = workerTime - receivedAt;
  }

  /** Converts to the worker's clock; to be called only when that is known. */
  toWorkerTime(agentTime: number): number {
    return Math.floor(agentTime + (this.offsetMillis ?? -Infinity));
  }
}

/** The best-effort work of the queues with one service and priority. */
export interface BestEffortBacklog {
  readonly service: string;
  readonly priority: number;
  /** Accepted and not done, in core-milliseconds. */
  readonly work: number;
  /** Number of workflows with that work. */
  readonly workflows: number;
  /** Work that the service finishes in a millisecond, in core-milliseconds. */
  readonly rate: number;
}

/** What a new best-effort workflow would meet in the pool. */
export interface AdmissionOutlook {
  /** Only of services in which best-effort tasks wait for processors. */
  readonly backlogs: BestEffortBacklog[];
}

/** False if a value is missing or out of range, so that nothing is decided by it. */
export function isValidOutlook({backlogs}: AdmissionOutlook): boolean {
  return backlogs.every(
    ({work, workflows, rate}) =>
      isAmount(work) && isAmount(workflows) && isAmount(rate) && rate > 0,
  );
}

function isAmount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}

/**
 * Load pattern: a worker that fails all that it starts ends its tasks at once,
 * has room again at once, and so draws the work of the whole pool to it.
 */

/** Failures in a row, of different workflows, after which a worker rests. */
const FAILURES_TO_REST = 2;
/** First rest; doubled each time up to the longest. */
const FIRST_REST_MILLIS = 3_000;
const LONGEST_REST_MILLIS = 12_000;
/** A worker that refused a start as unhealthy gets nothing for this long. */
const REFUSAL_REST_MILLIS = 500;
/** Tasks on trial after a rest, until one of them succeeds. */
const TASKS_ON_TRIAL = 1;

interface Record {
  failedWorkflows: Set<string>;
  restUntil: number;
  restMillis: number;
  onTrial: boolean;
}

/** Judges workers by how the runs on them end. */
export class WorkerHealth {
  private readonly records = new Map<string, Record>();

  /** How many more tasks the worker may be given now. */
  allowance(worker: string, placedCount: number, now: number): number {
    const record = this.records.get(worker);
    if (!record) return Infinity;
    if (now < record.restUntil) return 0;
    if (record.onTrial) return Math.max(0, TASKS_ON_TRIAL - placedCount);
    return Infinity;
  }

  /** Failures in a row; workers without any are preferred. */
  suspicion(worker: string): number {
    const record = this.records.get(worker);
    if (!record) return 0;
    return record.failedWorkflows.size + (record.onTrial ? 1 : 0);
  }

  noteSuccess(worker: string): void {
    this.records.delete(worker);
  }

  /** True when the worker rests from now on. */
  noteFailure(worker: string, workflow: string, now: number): boolean {
    const record = this.recordOf(worker);
    record.failedWorkflows.add(workflow);
    const tooMany = record.failedWorkflows.size >= FAILURES_TO_REST;
    if (!tooMany && !record.onTrial) return false;
    return this.rest(record, now);
  }

  /** A run stood still or crawled while runs elsewhere went on. */
  noteStall(worker: string, now: number): boolean {
    return this.rest(this.recordOf(worker), now);
  }

  noteRefusal(worker: string, now: number): void {
    const record = this.recordOf(worker);
    const until = now + REFUSAL_REST_MILLIS;
    record.restUntil = Math.max(record.restUntil, until);
  }

  forget(worker: string): void {
    this.records.delete(worker);
  }

  private rest(record: Record, now: number): boolean {
    if (now < record.restUntil) return false;
    record.restUntil = now + record.restMillis;
    record.restMillis = Math.min(2 * record.restMillis, LONGEST_REST_MILLIS);
    record.onTrial = true;
    record.failedWorkflows.clear();
    return true;
  }

  private recordOf(worker: string): Record {
    const known = this.records.get(worker);
    if (known) return known;
    const record: Record = {
      failedWorkflows: new Set(),
      restUntil: -Infinity,
      restMillis: FIRST_REST_MILLIS,
      onTrial: false,
    };
    this.records.set(worker, record);
    return record;
  }
}

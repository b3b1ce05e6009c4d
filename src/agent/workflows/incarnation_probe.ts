import {isListOf} from '../../backends/leased_worker.js';
import type {LeasedWorker, WorkerReport} from '../../backends/leased_worker.js';
import {WorkerRefusedError} from '../../backends/platform_errors.js';
import type {Clock} from '../../utilities/clock.js';
import {pause} from '../../utilities/pause.js';

/** Time for a worker that has just started to respond. */
const PROBE_MILLIS = 2_000;
const RETRY_MILLIS = 150;

export interface IncarnationProbeOptions {
  readonly report: WorkerReport;
  readonly worker: LeasedWorker;
  readonly fencingToken: number;
  readonly clock: Clock;
}

/**
 * Asks a worker whether it is the incarnation that a report names. A report
 * alone proves nothing: it may be late, or another writer may have sent it.
 */
export class IncarnationProbe {
  private closed = false;

  constructor(private readonly options: IncarnationProbeOptions) {}

  /** Resolves to true once the worker has responded as this incarnation. */
  async run(): Promise<boolean> {
    const {clock} = this.options;
    const deadline = clock.now() + PROBE_MILLIS;
    while (!this.closed && clock.now() < deadline) {
      const isConfirmed = await this.askOnce();
      if (isConfirmed !== undefined) return isConfirmed && !this.closed;
      await pause(clock, RETRY_MILLIS);
    }
    return false;
  }

  close(reason: string): void {
    this.closed = true;
    this.options.worker.close(reason);
  }

  /** Returns undefined without a response. */
  private async askOnce(): Promise<boolean | undefined> {
    const {report, worker, fencingToken} = this.options;
    try {
      const listing = await worker.pollRuns({fencingToken, acknowledgedEnd: 0});
      return isListOf(listing, report);
    } catch (error) {
      return error instanceof WorkerRefusedError ? false : undefined;
    }
  }
}

/** Added to the longest time after which a run has failed. */
const OUTLIVING_MILLIS = 500;
/** A run that has worked for this long has outlived any failed one. */
const MAXIMUM_OUTLIVING_MILLIS = 3_000;
/** Workers on which a workflow has to fail before it is found at fault. */
const WORKERS_OF_PROOF = 2;
/** So many workflows at fault in a row, and nothing that works in between. */
const FAULTS_OF_POOL = 3;

/** The failure or stall of a run. */
export interface RunFailure {
  readonly workedMillis?: number;
  /** 0 for a long-running task, which shows no progress. */
  readonly percent?: number;
  /** True if a task of the workflow still runs that has not failed anywhere. */
  readonly isUndecided?: (failedOn: ReadonlySet<string>) => boolean;
}

/** The furthest that runs came before they failed. */
export class FailureProfile {
  private longestMillis = 0;
  private highestPercent = 0;

  record({workedMillis = 0, percent = 0}: RunFailure): void {
    this.longestMillis = Math.max(this.longestMillis, workedMillis);
    this.highestPercent = Math.max(this.highestPercent, percent);
  }

  /** True if the run came further than all that have failed. */
  isOutlivedBy(workedMillis: number, percent: number): boolean {
    const needed = Math.min(
      this.longestMillis + OUTLIVING_MILLIS,
      MAXIMUM_OUTLIVING_MILLIS,
    );
    return workedMillis >= needed && percent > this.highestPercent;
  }
}

/** A failure among those of all workflows. */
export interface FailureMark {
  /** Grows from failure to failure. */
  readonly number: number;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/** The failures and stalls of one workflow. */
class WorkflowFailures {
  readonly lastByWorker = new Map<string, FailureMark>();
  readonly profile = new FailureProfile();
  /** True once a run of the workflow came further than its failed ones. */
  hasWorked = false;
  isAtFault = false;
}

/**
 * Tells the failures that are the fault of a workflow from those of workers.
 *
 * Load pattern: a workflow that can never be done fails wherever it runs, and a
 * worker that fails every task fails those of all workflows. A workflow is at
 * fault if it failed on several workers and has worked on none. If workflow
 * after workflow is, the pool is the reason, and none of them.
 */
export class FailureEvidence {
  private readonly byWorkflow = new Map<string, WorkflowFailures>();
  private faultsInSuccession = 0;

  /** True if no open workflow has failed anywhere. */
  get isEmpty(): boolean {
    return this.byWorkflow.size === 0;
  }

  /** The workflows that are at fault. */
  get faultyWorkflows(): Set<string> {
    const faulty = new Set<string>();
    if (this.faultsInSuccession >= FAULTS_OF_POOL) return faulty;
    for (const [workflow, {isAtFault}] of this.byWorkflow) {
      if (isAtFault) faulty.add(workflow);
    }
    return faulty;
  }

  /** Returns the last failures by worker, unless it has worked there since. */
  failuresOf(workflow: string): ReadonlyMap<string, FailureMark> {
    return this.byWorkflow.get(workflow)?.lastByWorker ?? new Map();
  }

  recordFailure(
    workflow: string,
    worker: string,
    mark: FailureMark,
    failure: RunFailure,
  ): void {
    const known = this.byWorkflow.get(workflow) ?? new WorkflowFailures();
    this.byWorkflow.set(workflow, known);
    known.lastByWorker.set(worker, mark);
    known.profile.record(failure);
    if (known.hasWorked || known.isAtFault) return;
    if (known.lastByWorker.size < WORKERS_OF_PROOF) return;
    if (failure.isUndecided?.(new Set(known.lastByWorker.keys()))) return;
    known.isAtFault = true;
    this.faultsInSuccession++;
  }

  /** True if the run came further than the failed ones of its workflow. */
  isOutlivedBy(
    workflow: string,
    workedMillis: number,
    percent: number,
  ): boolean {
    const known = this.byWorkflow.get(workflow);
    if (!known) return false;
    return known.profile.isOutlivedBy(workedMillis, percent);
  }

  /** Records that a run of the workflow works on the worker. */
  recordWork(workflow: string, worker: string): void {
    this.faultsInSuccession = 0;
    const known = this.byWorkflow.get(workflow);
    if (!known) return;
    known.lastByWorker.delete(worker);
    known.hasWorked = true;
    known.isAtFault = false;
  }

  forget(workflow: string): void {
    this.byWorkflow.delete(workflow);
  }
}

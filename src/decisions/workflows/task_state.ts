/** A run of a task that may be active on its worker. */
export interface Placement {
  readonly run: number;
  /** Key of the worker's incarnation. */
  readonly worker: string;
  /** The run is being stopped; only its checkpoint is still needed. */
  stopping: boolean;
}

/** The state of one task. */
export class TaskState {
  /** The highest run number assigned so far. */
  lastRun = 0;
  /** Number of failed runs. */
  failures = 0;
  done = false;
  /** Point from which the next run resumes; empty for the beginning. */
  checkpoint = '';
  placements: Placement[] = [];

  get isUntouched(): boolean {
    return !this.done && this.lastRun === 0;
  }

  placementOf(run: number): Placement | undefined {
    return this.placements.find(placement => placement.run === run);
  }

  close(run: number): void {
    this.placements = this.placements.filter(each => each.run !== run);
  }
}

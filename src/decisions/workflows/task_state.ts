/** A run of a task that its worker may have. */
export interface Placement {
  readonly run: number;
  /** Key of the worker's incarnation. */
  readonly worker: string;
  /** The run is to end; nothing of it is wanted but its checkpoint. */
  stopping: boolean;
}

/** What is known of one task. */
export class TaskState {
  /** The highest run number given out. */
  lastRun = 0;
  /** Runs that have failed. */
  failures = 0;
  done = false;
  /** From where the next run goes on; empty for the beginning. */
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

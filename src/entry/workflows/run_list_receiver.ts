import type {WorkerRun} from '../../backends/leased_worker.js';
import {runKey} from '../../decisions/workflows/task_name.js';
import type {ListingDelta} from '../../protocol/generated/burdockmoor.js';
import {VALUES_PER_PROGRESS_ENTRY} from '../../protocol/message_checks.js';
import {InvalidMessageError} from '../../protocol/invalid_message_error.js';

const TENTHS = 10;

/** Rebuilds a worker's run list from its deltas. */
export class RunListReceiver {
  private readonly names = new Map<number, string>();
  private lastNumber = 0;

  /** Updates the runs, by run key; nothing else may modify this map. */
  apply(delta: ListingDelta, runs: Map<string, WorkerRun>): void {
    for (const number of delta.gone) {
      runs.delete(this.nameOf(number));
      this.names.delete(number);
    }
    for (const run of delta.added) {
      const name = runKey(run.task, run.run);
      this.names.set(++this.lastNumber, name);
      runs.set(name, run);
    }
    for (const {number, checkpoint} of delta.checkpoints) {
      this.change(runs, number, {checkpoint});
    }
    this.applyProgress(delta.progress, runs);
  }

  private applyProgress(
    progress: readonly number[],
    runs: Map<string, WorkerRun>,
  ): void {
    for (
      let at = 0;
      at + 2 < progress.length;
      at += VALUES_PER_PROGRESS_ENTRY
    ) {
      const [number, percentTenths, measure] = progress.slice(at, at + 3);
      this.change(runs, number, {percent: percentTenths / TENTHS, measure});
    }
  }

  private change(
    runs: Map<string, WorkerRun>,
    number: number,
    changed: Partial<WorkerRun>,
  ): void {
    const name = this.nameOf(number);
    const run = runs.get(name);
    if (run) runs.set(name, {...run, ...changed});
  }

  private nameOf(number: number): string {
    const name = this.names.get(number);
    if (name !== undefined) return name;
    throw new InvalidMessageError(`Run ${number} was never listed.`);
  }
}

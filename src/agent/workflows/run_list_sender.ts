import type {WorkerRun} from '../../backends/leased_worker.js';
import {runKey} from '../../decisions/workflows/task_name.js';
import type {ListingDelta} from '../../protocol/generated/burdockmoor.js';

/** Shares are sent in tenths of a percent. */
const TENTHS = 10;

interface SentRun {
  readonly number: number;
  readonly checkpoint: string;
  readonly percentTenths: number;
  readonly measure: number;
}

/** A change of the run list that is ready to send. */
export interface PreparedRunList {
  readonly delta: ListingDelta;
  /** Called once the stream has accepted the change. */
  recordSent(): void;
}

/** Composes the changes of a worker's run list for one stream. */
export class RunListSender {
  private sent: ReadonlyMap<string, SentRun> = new Map();
  private lastNumber = 0;

  /** Returns the changes since the run list that was sent last. */
  prepare(runs: readonly WorkerRun[]): PreparedRunList {
    const delta: ListingDelta = {
      added: [],
      gone: [],
      progress: [],
      checkpoints: [],
    };
    const next = new Map<string, SentRun>();
    let lastNumber = this.lastNumber;
    for (const run of runs) {
      const name = runKey(run.task, run.run);
      const known = this.sent.get(name);
      const number = known?.number ?? ++lastNumber;
      const sent = toSent(run, number);
      next.set(name, sent);
      if (!known) delta.added.push({...run, percent: shareOf(sent)});
      else addChanges(delta, known, sent);
    }
    for (const [name, {number}] of this.sent) {
      if (!next.has(name)) delta.gone.push(number);
    }
    const noteSent = (): void => {
      this.sent = next;
      this.lastNumber = lastNumber;
    };
    return {delta, recordSent: noteSent};
  }
}

function toSent(run: WorkerRun, number: number): SentRun {
  return {
    number,
    checkpoint: run.checkpoint,
    percentTenths: Math.max(0, Math.round(run.percent * TENTHS)),
    measure: Math.max(0, Math.round(run.measure)),
  };
}

function shareOf({percentTenths}: SentRun): number {
  return percentTenths / TENTHS;
}

function addChanges(delta: ListingDelta, known: SentRun, now: SentRun): void {
  const {number, checkpoint, percentTenths, measure} = now;
  if (known.checkpoint !== checkpoint) {
    delta.checkpoints.push({number, checkpoint});
  }
  if (known.percentTenths === percentTenths && known.measure === measure) {
    return;
  }
  delta.progress.push(number, percentTenths, measure);
}

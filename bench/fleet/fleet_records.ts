import path from 'node:path';
import type {ExecutorRun} from '../../tests/stand_ins/executor_stand_in.js';
import {appendLine, readLines} from '../../tests/stand_ins/stand_in_process.js';
import {WorkerRecordType} from '../../tests/stand_ins/worker_records.js';
import type {WorkerRecord} from '../../tests/stand_ins/worker_records.js';

/** An attempt on a worker, from its start to its end. */
export interface AttemptRun {
  readonly task: string;
  readonly worker: string;
  readonly startedAt: number;
  /** Infinity while it runs. */
  endedAt: number;
  finished: boolean;
}

export interface TaskTally {
  readonly started: number;
  /** Different tasks that finished. */
  readonly finished: number;
  /** Tasks that finished more than once, or ran in two places at a time. */
  readonly twice: number;
  /** Starts that made a VM's sizes add up to more than it has. */
  readonly overSize: number;
}

/** What the workers and executors of a fleet wrote down. */
export class FleetRecords {
  constructor(
    private readonly folder: string,
    private readonly vms: readonly string[],
  ) {}

  workerFile(vm: string): string {
    return path.join(this.folder, `${vm}.worker`);
  }

  executorFile(vm: string): string {
    return path.join(this.folder, `${vm}.executor`);
  }

  /** A worker was killed, so that nothing runs there any more. */
  noteWorkerKilled(vm: string): void {
    const time = Date.now();
    const ended = {type: WorkerRecordType.BOOT, worker: vm, time};
    appendLine(this.workerFile(vm), ended);
  }

  attempts(): AttemptRun[] {
    return this.vms.flatMap(vm => attemptsOf(this.workerRecords(vm)));
  }

  /** Attempts of tasks whose names begin with `<team>/<job>/`. */
  attemptsOf(job: string): AttemptRun[] {
    return this.attempts().filter(run => run.task.startsWith(`${job}/`));
  }

  tally(): TaskTally {
    const attempts = this.attempts();
    const ended = attempts.filter(run => run.finished);
    const finished = new Set(ended.map(run => run.task)).size;
    const twice = this.runsTwice().length;
    const overSize = this.countOverSize();
    return {started: attempts.length, finished, twice, overSize};
  }

  /**
   * The attempts of each task that finished more than once, or that ran in two
   * places at a time.
   */
  runsTwice(): ReadonlyArray<readonly AttemptRun[]> {
    const byTask = new Map<string, AttemptRun[]>();
    for (const run of this.attempts()) {
      const runs = byTask.get(run.task) ?? [];
      runs.push(run);
      byTask.set(run.task, runs);
    }
    return [...byTask.values()].filter(runs => {
      const times = runs.filter(run => run.finished).length;
      return times > 1 || overlap(runs);
    });
  }

  /** Starts on a VM from one calendar time to another. */
  startsBetween(vm: string, from: number, until: number): number {
    const starts = attemptsOf(this.workerRecords(vm)).filter(
      run => run.startedAt >= from && run.startedAt <= until,
    );
    return starts.length;
  }

  /** How often the executors ran each request. */
  requestRuns(): ReadonlyMap<string, number> {
    const runs = new Map<string, number>();
    for (const vm of this.vms) {
      for (const run of readLines<ExecutorRun>(this.executorFile(vm))) {
        runs.set(run.requestId, (runs.get(run.requestId) ?? 0) + 1);
      }
    }
    return runs;
  }

  private countOverSize(): number {
    let count = 0;
    for (const vm of this.vms) {
      for (const record of this.workerRecords(vm)) {
        const started = record.type === WorkerRecordType.START;
        if (started && record.overSize) count++;
      }
    }
    return count;
  }

  private workerRecords(vm: string): WorkerRecord[] {
    return readLines<WorkerRecord>(this.workerFile(vm));
  }
}

function attemptsOf(records: readonly WorkerRecord[]): AttemptRun[] {
  const runs: AttemptRun[] = [];
  const open = new Map<string, AttemptRun>();
  for (const {type, id, worker, time} of records) {
    if (type === WorkerRecordType.BOOT) {
      for (const run of open.values()) run.endedAt = time;
      open.clear();
      continue;
    }
    if (type === WorkerRecordType.START) {
      const task = taskOf(id);
      const run = {
        task,
        worker,
        startedAt: time,
        endedAt: Infinity,
        finished: false,
      };
      open.set(id, run);
      runs.push(run);
      continue;
    }
    const run = open.get(id);
    if (!run) continue;
    run.endedAt = time;
    run.finished = type === WorkerRecordType.FINISH;
    open.delete(id);
  }
  return runs;
}

/** `<team>/<job>/<task>` of `<prefix>/<team>/<job>/<task>/<attempt>`. */
function taskOf(id: string): string {
  return id.split('/').slice(1, -1).join('/');
}

function overlap(runs: readonly AttemptRun[]): boolean {
  const ordered = [...runs].sort((a, b) => a.startedAt - b.startedAt);
  let latestEnd = -Infinity;
  for (const run of ordered) {
    if (run.startedAt < latestEnd) return true;
    latestEnd = Math.max(latestEnd, run.endedAt);
  }
  return false;
}

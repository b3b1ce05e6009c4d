import type {Resources} from '../../utilities/resources.js';
import type {JobSpecification} from '../job_types.js';
import {JobBook} from './job_book.js';
import {JobState, TaskPhase} from './job_state.js';
import type {HistoryLine, TaskState} from './job_state.js';

/** The folded log as compact JSON, and back. */

const SNAPSHOT_FORMAT = 1;
const SNAPSHOT_HISTORY_LINES = 6;

const PHASE_ORDER: readonly TaskPhase[] = [
  TaskPhase.WAITING,
  TaskPhase.OPEN,
  TaskPhase.FINISHED,
  TaskPhase.FAILED,
  TaskPhase.HELD,
  TaskPhase.CANCELLED,
];

/** Index, phase and the values of a task in the order of `TaskState`. */
type TaskRow = [
  number,
  number,
  number,
  number,
  string,
  string,
  string,
  string,
  string,
  Resources?,
];

interface JobRow {
  readonly specification: JobSpecification;
  readonly sequence: number;
  readonly submitted: number;
  readonly closed: number;
  readonly cancelReason?: string;
  readonly confirmedBy?: string;
  readonly history: readonly HistoryLine[];
  /** Only tasks that were ever placed. */
  readonly tasks: readonly TaskRow[];
}

interface SnapshotText {
  readonly format: number;
  readonly epoch: number;
  readonly owner: string;
  readonly jobs: readonly JobRow[];
}

export function writeSnapshot(book: JobBook): string {
  const text: SnapshotText = {
    format: SNAPSHOT_FORMAT,
    epoch: book.epoch,
    owner: book.ownerEntryId,
    jobs: [...book.jobs.values()].map(toJobRow),
  };
  return JSON.stringify(text);
}

/** Throws a SyntaxError when the text is not JSON. */
export function readSnapshot(text: string): JobBook {
  const snapshot = JSON.parse(text) as SnapshotText;
  const book = new JobBook();
  book.epoch = snapshot.epoch;
  book.ownerEntryId = snapshot.owner;
  for (const row of snapshot.jobs) book.adopt(fromJobRow(row));
  return book;
}

function toJobRow(job: JobState): JobRow {
  const tasks: TaskRow[] = [];
  for (const [index, task] of job.tasks.entries()) {
    if (task.attempts > 0) tasks.push(toTaskRow(index, task));
  }
  return {
    specification: job.specification,
    sequence: job.sequence,
    submitted: job.submittedWallTime,
    closed: job.closedWallTime,
    cancelReason: job.cancelReason,
    confirmedBy: job.confirmedBy,
    history: job.history.slice(-SNAPSHOT_HISTORY_LINES),
    tasks,
  };
}

function toTaskRow(index: number, task: TaskState): TaskRow {
  return [
    index,
    PHASE_ORDER.indexOf(task.phase),
    task.attempts,
    task.failures,
    task.checkpoint,
    task.result,
    task.reason,
    task.vm,
    task.incarnation,
    task.size,
  ];
}

function fromJobRow(row: JobRow): JobState {
  const job = new JobState(row.specification, row.sequence, row.submitted);
  job.closedWallTime = row.closed;
  job.cancelReason = row.cancelReason;
  job.confirmedBy = row.confirmedBy;
  job.history = [...row.history];
  for (const taskRow of row.tasks) restoreTask(job, taskRow);
  if (!job.cancelled) return job;
  for (const task of job.tasks) {
    if (task.phase === TaskPhase.WAITING) {
      job.setPhase(task, TaskPhase.CANCELLED);
    }
  }
  return job;
}

function restoreTask(job: JobState, row: TaskRow): void {
  const [index, phase, attempts, failures, checkpoint, result] = row;
  const [, , , , , , reason, vm, incarnation, size] = row;
  const task = job.tasks[index];
  job.setPhase(task, PHASE_ORDER[phase]);
  Object.assign(task, {attempts, failures, checkpoint, result, reason, vm});
  task.incarnation = incarnation;
  task.size = size ?? undefined;
}

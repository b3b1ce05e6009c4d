import type {Resources} from '../../utilities/resources.js';
import type {JobSpecification} from '../job_types.js';
import {JobRegistry} from './job_registry.js';
import {JobState, TaskPhase} from './job_state.js';
import type {LearnedStateRows} from './learned_state.js';
import {NameTable} from './name_table.js';
import type {TaskState} from './job_state.js';

/** Writes and reads the state derived from the log as compact JSON. */

const SNAPSHOT_FORMAT = 1;
const OPEN_HISTORY_LINES = 4;
const CLOSED_HISTORY_LINES = 2;

const PHASE_ORDER: readonly TaskPhase[] = [
  TaskPhase.WAITING,
  TaskPhase.OPEN,
  TaskPhase.FINISHED,
  TaskPhase.FAILED,
  TaskPhase.HELD,
  TaskPhase.CANCELLED,
];

/**
 * Index, phase, attempts, failures, indexes of VM and incarnation in the name
 * table, then checkpoint, result, reason and size.
 */
type TaskRow = [
  number,
  number,
  number,
  number,
  number,
  number,
  string,
  string,
  string,
  Resources?,
];

/** Wall time and text. */
type HistoryRow = [number, string];

interface JobRow {
  readonly specification: JobSpecification;
  readonly sequence: number;
  readonly submitted: number;
  readonly closed: number;
  readonly cancelReason?: string;
  readonly confirmedBy?: string;
  readonly history: readonly HistoryRow[];
  /** Only tasks that were placed at least once. */
  readonly tasks: readonly TaskRow[];
}

interface SnapshotText {
  readonly format: number;
  readonly epoch: number;
  readonly owner: string;
  /** Name table of VMs and incarnations. */
  readonly names: readonly string[];
  readonly jobs: readonly JobRow[];
  /** Absent in snapshots of earlier versions. */
  readonly learned?: LearnedStateRows;
}

/** Contents of a snapshot after parsing. */
export interface RestoredSnapshot {
  readonly book: JobRegistry;
  readonly learned: LearnedStateRows | undefined;
}

export function writeSnapshot(
  book: JobRegistry,
  learned?: LearnedStateRows,
): string {
  const table = new NameTable();
  const jobs = [...book.jobs.values()].map(job => toJobRow(job, table));
  const text: SnapshotText = {
    format: SNAPSHOT_FORMAT,
    epoch: book.epoch,
    owner: book.ownerEntryId,
    names: table.names,
    jobs,
    learned,
  };
  return JSON.stringify(text);
}

/** Throws a SyntaxError if the text is not JSON. */
export function readSnapshot(text: string): RestoredSnapshot {
  const snapshot = JSON.parse(text) as SnapshotText;
  const book = new JobRegistry();
  book.epoch = snapshot.epoch;
  book.ownerEntryId = snapshot.owner;
  for (const row of snapshot.jobs) book.add(fromJobRow(row, snapshot.names));
  return {book, learned: snapshot.learned};
}

function toJobRow(job: JobState, table: NameTable): JobRow {
  const tasks: TaskRow[] = [];
  for (const [index, task] of job.tasks.entries()) {
    if (task.attempts > 0) tasks.push(toTaskRow(index, task, table));
  }
  const lines = job.closed ? CLOSED_HISTORY_LINES : OPEN_HISTORY_LINES;
  const history = job.history.slice(-lines);
  return {
    specification: job.specification,
    sequence: job.sequence,
    submitted: job.submittedWallTime,
    closed: job.closedWallTime,
    cancelReason: job.cancelReason,
    confirmedBy: job.confirmedBy,
    history: history.map(({wallTime, text}) => [wallTime, text]),
    tasks,
  };
}

function toTaskRow(index: number, task: TaskState, table: NameTable): TaskRow {
  return [
    index,
    PHASE_ORDER.indexOf(task.phase),
    task.attempts,
    task.failures,
    table.indexOf(task.vm),
    table.indexOf(task.incarnation),
    task.checkpoint,
    task.result,
    task.reason,
    task.size,
  ];
}

function fromJobRow(row: JobRow, names: readonly string[]): JobState {
  const job = new JobState(row.specification, row.sequence, row.submitted);
  job.closedWallTime = row.closed;
  job.cancelReason = row.cancelReason;
  job.confirmedBy = row.confirmedBy;
  job.history = row.history.map(([wallTime, text]) => ({wallTime, text}));
  for (const taskRow of row.tasks) restoreTask(job, taskRow, names);
  if (!job.cancelled) return job;
  for (const task of job.tasks) {
    if (task.phase === TaskPhase.WAITING) {
      job.setPhase(task, TaskPhase.CANCELLED);
    }
  }
  return job;
}

function restoreTask(
  job: JobState,
  row: TaskRow,
  names: readonly string[],
): void {
  const [index, phase, attempts, failures, vm, incarnation] = row;
  const [, , , , , , checkpoint, result, reason, size] = row;
  const task = job.tasks[index];
  job.setPhase(task, PHASE_ORDER[phase]);
  Object.assign(task, {attempts, failures, checkpoint, result, reason});
  task.vm = names[vm];
  task.incarnation = names[incarnation];
  task.size = size ?? undefined;
}

import {AttemptOutcome, LogRecordType, jobKey} from '../job_types.js';
import type {AttemptName, LogRecord} from '../job_types.js';
import {JobState, TaskPhase} from './job_state.js';
import type {TaskState} from './job_state.js';

type ClosedRecord = Extract<LogRecord, {type: typeof LogRecordType.CLOSED}>;
type PlacedRecord = Extract<LogRecord, {type: typeof LogRecordType.PLACED}>;

/**
 * The jobs of one shard, derived only from the records of its log. Applying the
 * same records in the same order always gives the same jobs.
 */
export class JobRegistry {
  readonly jobs = new Map<string, JobState>();
  epoch = 0;
  ownerEntryId = '';
  private nextSequence = 1;

  job(team: string, name: string): JobState | undefined {
    return this.jobs.get(jobKey(team, name));
  }

  /** Returns the task of an attempt while that attempt is open. */
  openTask(name: AttemptName): TaskState | undefined {
    const task = this.job(name.team, name.job)?.tasks[name.task];
    if (!task || task.phase !== TaskPhase.OPEN) return undefined;
    return task.attempts === name.attempt ? task : undefined;
  }

  /**
   * Returns the task if a report can still settle how the attempt ended: the
   * attempt is open, or the task is held because its outcome was unknown.
   */
  unresolvedTask(name: AttemptName): TaskState | undefined {
    const task = this.job(name.team, name.job)?.tasks[name.task];
    if (task?.phase !== TaskPhase.HELD) return this.openTask(name);
    return task.attempts === name.attempt ? task : undefined;
  }

  /** Adds a job read from a snapshot. */
  add(job: JobState): void {
    this.jobs.set(job.key, job);
    this.nextSequence = Math.max(this.nextSequence, job.sequence + 1);
  }

  apply(record: LogRecord): void {
    switch (record.type) {
      case LogRecordType.TAKEN_OVER:
        this.epoch = record.epoch;
        this.ownerEntryId = record.entryId;
        return;
      case LogRecordType.SUBMITTED:
        return this.foldSubmitted(record);
      case LogRecordType.PLACED:
        return this.foldPlaced(record);
      case LogRecordType.CLOSED:
        return this.foldClosed(record);
      case LogRecordType.CANCELLED:
        return this.foldCancelled(record);
      case LogRecordType.CONFIRMED:
        return this.foldConfirmed(record);
      case LogRecordType.REMOVED:
        this.jobs.delete(jobKey(record.team, record.job));
    }
  }

  private foldSubmitted(
    record: Extract<LogRecord, {type: typeof LogRecordType.SUBMITTED}>,
  ): void {
    const {specification, wallTime} = record;
    const job = new JobState(specification, this.nextSequence++, wallTime);
    job.addHistory(wallTime, 'submitted');
    this.jobs.set(job.key, job);
  }

  private foldPlaced(record: PlacedRecord): void {
    const {name, vm} = record;
    const job = this.job(name.team, name.job);
    const task = job?.tasks[name.task];
    if (!job || !task) return;
    task.attempts = name.attempt;
    task.vm = vm;
    task.incarnation = record.incarnation;
    task.size = record.size;
    job.setPhase(task, TaskPhase.OPEN);
    const attempt = `task ${name.task} attempt ${name.attempt}`;
    job.addHistory(
      record.wallTime,
      `${attempt} placed on ${vm}: ${record.reason}`,
    );
  }

  private foldClosed(record: ClosedRecord): void {
    const {name, outcome} = record;
    const job = this.job(name.team, name.job);
    const task = this.unresolvedTask(name);
    if (!job || !task) return;
    task.reason = record.reason;
    if (record.checkpoint !== '') task.checkpoint = record.checkpoint;
    if (outcome === AttemptOutcome.FINISHED) task.result = record.result;
    if (outcome === AttemptOutcome.FAILED) task.failures++;
    job.setPhase(task, phaseAfter(job, task, record));
    const attempt = `task ${name.task} attempt ${name.attempt}`;
    const reason = record.reason === '' ? '' : `: ${record.reason}`;
    job.addHistory(
      record.wallTime,
      `${attempt} ${outcome} on ${task.vm}${reason}; now ${task.phase}`,
    );
    if (job.closed) job.closedWallTime = record.wallTime;
  }

  private foldCancelled(
    record: Extract<LogRecord, {type: typeof LogRecordType.CANCELLED}>,
  ): void {
    const job = this.job(record.team, record.job);
    if (!job) return;
    job.cancelReason = record.reason;
    for (const task of job.tasks) {
      if (task.phase !== TaskPhase.WAITING) continue;
      job.setPhase(task, TaskPhase.CANCELLED);
    }
    job.addHistory(record.wallTime, `cancelled: ${record.reason}`);
    if (job.closed) job.closedWallTime = record.wallTime;
  }

  private foldConfirmed(
    record: Extract<LogRecord, {type: typeof LogRecordType.CONFIRMED}>,
  ): void {
    const job = this.job(record.team, record.job);
    if (!job) return;
    job.confirmedBy = record.by;
    job.addHistory(record.wallTime, `confirmed by ${record.by}`);
  }
}

/** Returns the next phase of a task whose attempt has ended. */
function phaseAfter(
  job: JobState,
  task: TaskState,
  record: ClosedRecord,
): TaskPhase {
  const {outcome} = record;
  if (outcome === AttemptOutcome.FINISHED && !job.watcher) {
    return TaskPhase.FINISHED;
  }
  if (job.cancelled) return TaskPhase.CANCELLED;
  if (outcome === AttemptOutcome.REFUSED) return TaskPhase.WAITING;
  if (job.watcher) return TaskPhase.WAITING;
  const {idempotent, maximumFailures} = job.specification;
  if (outcome === AttemptOutcome.FAILED) {
    const mayRepeat = idempotent && task.failures <= maximumFailures;
    return mayRepeat ? TaskPhase.WAITING : TaskPhase.FAILED;
  }
  if (idempotent) return TaskPhase.WAITING;
  const resumable =
    outcome === AttemptOutcome.EVICTED && record.checkpoint !== '';
  return resumable ? TaskPhase.WAITING : TaskPhase.HELD;
}

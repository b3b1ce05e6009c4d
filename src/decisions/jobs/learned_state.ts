import {ResultCodes} from '../../observability/result_codes.js';
import {AttemptOutcome, LogRecordType} from '../job_types.js';
import type {LogRecord} from '../job_types.js';
import type {SizeRow} from '../placement/size_learner.js';
import type {TailSetbackRow} from '../recovery/tail_backoff.js';
import type {SuspectRow} from '../recovery/worker_quarantine.js';
import type {ShardState} from './shard_state.js';

/** Learned state of a shard, as stored in its snapshot. */
export interface LearnedStateRows {
  readonly format: number;
  readonly sizes: readonly SizeRow[];
  readonly suspects: readonly SuspectRow[];
  readonly tailSetbacks: readonly TailSetbackRow[];
}

const LEARNED_FORMAT = 1;

const WORKER_ERROR_CODES: ReadonlySet<number> = new Set([
  ResultCodes.WORKER_REFUSED.number,
  ResultCodes.WORKER_UNAVAILABLE.number,
]);

/** The end of an attempt, as evidence about its VM. */
export interface VmOutcome {
  readonly vm: string;
  readonly taskKind: string;
  readonly outcome: AttemptOutcome;
  readonly resultCode: number;
}

/**
 * Preserves the learned state of a shard when its owner changes: the snapshot
 * holds sizes, suspect VMs and tail setbacks, and the records after the
 * snapshot are replayed.
 */
export class LearnedState {
  constructor(private readonly state: ShardState) {}

  /** Uses wall times, as the next owner's monotonic clock differs. */
  rows(): LearnedStateRows {
    const {judge, learner, tailBackoff, wallTimeOffsetMillis} = this.state;
    return {
      format: LEARNED_FORMAT,
      sizes: learner.rows(),
      suspects: judge.rows(wallTimeOffsetMillis),
      tailSetbacks: tailBackoff.rows(wallTimeOffsetMillis),
    };
  }

  /** Ignores rows of an unknown format; learning then starts from nothing. */
  restore(rows: LearnedStateRows | undefined): void {
    if (rows?.format !== LEARNED_FORMAT) return;
    const {judge, learner, tailBackoff, wallTimeOffsetMillis} = this.state;
    learner.restore(rows.sizes);
    judge.restore(rows.suspects, wallTimeOffsetMillis);
    tailBackoff.restore(rows.tailSetbacks, wallTimeOffsetMillis);
  }

  /** Has to be called before the registry applies the record. */
  replay(record: LogRecord): void {
    const now = record.wallTime - this.state.wallTimeOffsetMillis;
    if (record.type === LogRecordType.PLACED) {
      this.replayPlaced(record, now);
    } else if (record.type === LogRecordType.CLOSED) {
      this.replayClosed(record, now);
    }
  }

  /** Updates quarantine and tail backoff from the end of an attempt. */
  recordOutcome(end: VmOutcome, now: number): void {
    const {vm, taskKind, outcome, resultCode} = end;
    const {judge, tailBackoff} = this.state;
    if (resultCode === ResultCodes.TAIL_PROTECTED.number) {
      tailBackoff.recordSetback(vm, taskKind, now);
    }
    if (outcome === AttemptOutcome.FINISHED) {
      judge.recordSuccess(vm, taskKind);
      tailBackoff.finished(vm, taskKind);
    }
    const failed =
      outcome === AttemptOutcome.FAILED ||
      (outcome === AttemptOutcome.REFUSED &&
        WORKER_ERROR_CODES.has(resultCode));
    if (failed) judge.recordFailure(vm, taskKind, now);
  }

  private replayPlaced(
    {name, vm, size}: Extract<LogRecord, {type: 'placed'}>,
    now: number,
  ): void {
    const {registry, judge, learner, tailBackoff} = this.state;
    const job = registry.job(name.team, name.job);
    if (!job) return;
    const {taskKind} = job.specification;
    judge.recordPlacement(vm, now);
    tailBackoff.placed(vm, taskKind, now);
    if (size) learner.recordReservation(name.team, taskKind, size);
  }

  private replayClosed(
    {name, outcome, resultCode}: Extract<LogRecord, {type: 'closed'}>,
    now: number,
  ): void {
    const {registry} = this.state;
    const job = registry.job(name.team, name.job);
    const task = registry.openTask(name);
    if (!job || !task) return;
    const {vm} = task;
    const {taskKind} = job.specification;
    this.recordOutcome({vm, taskKind, outcome, resultCode}, now);
  }
}

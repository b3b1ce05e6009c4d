import {ShardScheduler} from '../../decisions/jobs/shard_scheduler.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {BaseError, messageOf} from '../../utilities/base_error.js';
import type {Clock, Timer} from '../../utilities/clock.js';
import {logRecordEvents} from '../alarms/record_events.js';
import {DeposedError} from './shard_log.js';
import type {ShardLog} from './shard_log.js';

/** How long a record of an idle shard waits for more records to join it. */
const IDLE_COMMIT_DELAY_MILLIS = 20;
/** The same for a busy shard: fewer appends with more records each. */
const BUSY_COMMIT_DELAY_MILLIS = 100;
/** A shard is idle when its last append was longer ago than this. */
const IDLE_AFTER_MILLIS = 500;
const TAKE_OVER_DEADLINE_MILLIS = 10_000;
const MAXIMUM_TAKE_OVER_TRIES = 5;

/**
 * This entry no longer owns the shard; the outcome of decisions that were not
 * yet durable is unknown.
 */
export const ShardDroppedError = BaseError.subclass('ShardDroppedError');

/** Notified when a group commit is durable and when the shard is dropped. */
export interface ShardOwnerObserver {
  /** Called when a group commit is durable: its commands may be sent. */
  onCommitted(owner: ShardOwner): void;
  onDropped(owner: ShardOwner, reason: string): void;
}

export interface ShardOwnerOptions {
  readonly log: ShardLog;
  readonly entryId: string;
  /** Creates a scheduler from a snapshot; a new one if that is empty. */
  readonly createScheduler: (snapshot: string) => ShardScheduler;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly observer: ShardOwnerObserver;
  /** How long an append is retried before the shard is dropped. */
  readonly appendDeadlineMillis: number;
}

interface Waiter {
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

/**
 * Owns one shard: appends the decisions of its scheduler to the log as group
 * commits, one at a time, and lets callers continue once their decisions are
 * durable. If another owner appended first, the whole scheduler is dropped;
 * nothing is rolled back.
 */
export class ShardOwner {
  readonly shard: number;
  private readonly log: ShardLog;
  private readonly clock: Clock;
  private readonly logger: Logger;
  private readonly observer: ShardOwnerObserver;
  private readonly appendDeadlineMillis: number;
  private waiting: Waiter[] = [];
  private commitTimer: Timer | undefined;
  private appending = false;
  private droppedReason: string | undefined;
  private commits = 0;
  private committedAt = -Infinity;

  private constructor(
    readonly epoch: number,
    readonly scheduler: ShardScheduler,
    options: ShardOwnerOptions,
  ) {
    this.log = options.log;
    this.shard = options.log.shard;
    this.clock = options.clock;
    this.logger = options.logger;
    this.observer = options.observer;
    this.appendDeadlineMillis = options.appendDeadlineMillis;
  }

  /**
   * Replays the log and appends a take-over record, which fences earlier
   * owners.
   *
   * @throws DeposedError when another writer appended first at every try.
   */
  static async takeOver(options: ShardOwnerOptions): Promise<ShardOwner> {
    const {log, clock, logger} = options;
    for (let tries = 0; tries < MAXIMUM_TAKE_OVER_TRIES; tries++) {
      const replay = await log.read();
      const scheduler = options.createScheduler(replay.snapshot);
      for (const record of replay.records) scheduler.replay(record);
      if (log.isFull) await log.saveSnapshot(scheduler.snapshot());
      const epoch = log.nextAppendSequence;
      scheduler.beginOwnership(
        options.entryId,
        epoch,
        clock.now(),
        clock.wallTime(),
      );
      try {
        await log.append(scheduler.takeRecords(), TAKE_OVER_DEADLINE_MILLIS);
      } catch (error) {
        if (error instanceof DeposedError) continue;
        throw error;
      }
      scheduler.acknowledge();
      logger.event(Events.SHARD_TAKEN_OVER, {
        shard: log.shard,
        epoch,
        records: replay.records.length,
      });
      return new ShardOwner(epoch, scheduler, options);
    }
    throw new DeposedError(
      `Shard ${log.shard} could not be taken over in ${MAXIMUM_TAKE_OVER_TRIES} tries.`,
    );
  }

  /** True once the shard was dropped; an owner is never used again then. */
  get isDropped(): boolean {
    return this.droppedReason !== undefined;
  }

  /** Group commits since the take-over. */
  get commitCount(): number {
    return this.commits;
  }

  /** Resolves once all decisions so far are durable. */
  waitUntilDurable(): Promise<void> {
    if (this.droppedReason !== undefined) {
      return Promise.reject(this.createDroppedError());
    }
    if (!this.appending && !this.scheduler.hasRecords) return Promise.resolve();
    const promise = new Promise<void>((resolve, reject) => {
      this.waiting.push({resolve, reject});
    });
    this.scheduleCommit();
    return promise;
  }

  /** Schedules an append of the queued records. */
  scheduleCommit(): void {
    if (this.isDropped || this.appending || this.commitTimer) return;
    if (!this.scheduler.hasRecords) return;
    this.commitTimer = this.clock.schedule(this.commitDelayMillis(), () => {
      this.commitTimer = undefined;
      void this.commit();
    });
  }

  /**
   * Gives up the shard; callers that wait for a commit get a ShardDroppedError.
   */
  drop(reason: string): void {
    if (this.isDropped) return;
    this.droppedReason = reason;
    this.commitTimer?.cancel();
    this.rejectAll(this.waiting);
    this.waiting = [];
    this.logger.event(Events.SHARD_LOST, {shard: this.shard, reason});
    this.observer.onDropped(this, reason);
  }

  private commitDelayMillis(): number {
    const isIdle = this.clock.now() - this.committedAt > IDLE_AFTER_MILLIS;
    return isIdle ? IDLE_COMMIT_DELAY_MILLIS : BUSY_COMMIT_DELAY_MILLIS;
  }

  private async commit(): Promise<void> {
    if (this.isDropped || this.appending || !this.scheduler.hasRecords) return;
    this.appending = true;
    const waiting = this.waiting;
    this.waiting = [];
    try {
      await this.appendQueued();
    } catch (error) {
      this.drop(messageOf(error));
      this.rejectAll(waiting);
      return;
    } finally {
      this.appending = false;
    }
    if (this.isDropped) return this.rejectAll(waiting);
    for (const waiter of waiting) waiter.resolve();
    this.scheduleCommit();
  }

  /** Appends the queued records, and saves a snapshot if one is due. */
  private async appendQueued(): Promise<void> {
    const records = this.scheduler.takeRecords();
    await this.log.append(records, this.appendDeadlineMillis);
    if (this.isDropped) return;
    this.scheduler.acknowledge();
    logRecordEvents(records, this.scheduler, this.logger);
    this.commits++;
    this.committedAt = this.clock.now();
    this.observer.onCommitted(this);
    if (this.log.isSnapshotDue) await this.trySnapshot();
  }

  /** Saves a snapshot; a failed one is retried after the next commit. */
  private async trySnapshot(): Promise<void> {
    try {
      await this.log.saveSnapshot(this.scheduler.snapshot());
    } catch (error) {
      this.logger.event(Events.SNAPSHOT_FAILED, {
        shard: this.shard,
        reason: messageOf(error),
      });
    }
  }

  private rejectAll(waiting: readonly Waiter[]): void {
    for (const waiter of waiting) waiter.reject(this.createDroppedError());
  }

  private createDroppedError(): Error {
    return new ShardDroppedError(
      `This entry dropped shard ${this.shard}: ${this.droppedReason}.`,
    );
  }
}

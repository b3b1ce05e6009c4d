import {ShardScheduler} from '../../decisions/jobs/shard_scheduler.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {BaseError, messageOf} from '../../utilities/base_error.js';
import type {Clock, Timer} from '../../utilities/clock.js';
import {logRecordEvents} from '../alarms/record_events.js';
import {DeposedError} from './shard_log.js';
import type {ShardLog} from './shard_log.js';

/** Records of a calm shard wait so long for others to join them. */
const CALM_COMMIT_DELAY_MILLIS = 20;
/** Those of a busy shard: fewer appends carry more records. */
const BUSY_COMMIT_DELAY_MILLIS = 100;
/** A shard is calm when its last append is longer ago. */
const CALM_AFTER_MILLIS = 500;
const TAKE_OVER_DEADLINE_MILLIS = 10_000;
const TAKE_OVER_TRIALS = 5;

/** The shard is not owned here any more; what was not recorded is unknown. */
export const ShardDroppedError = BaseError.subclass('ShardDroppedError');

/** Hears when the owner has to let go of the shard, or may act. */
export interface ShardOwnerObserver {
  /** A group commit is durable: commands that follow from it may go out. */
  onCommitted(owner: ShardOwner): void;
  onDropped(owner: ShardOwner, reason: string): void;
}

export interface ShardOwnerOptions {
  readonly log: ShardLog;
  readonly entryId: string;
  /** Makes a scheduler from a snapshot; from nothing if it is empty. */
  readonly createScheduler: (snapshot: string) => ShardScheduler;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly observer: ShardOwnerObserver;
  /** How long an append is tried before the shard is dropped. */
  readonly appendDeadlineMillis: number;
}

interface Waiter {
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

/**
 * Owns one shard: feeds its scheduler, appends what it decides as group
 * commits, one at a time, and lets callers go on once their decision is
 * durable. A lost race drops the whole scheduler; nothing is rolled back.
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
   * Replays the log and appends the take-over, which fences earlier owners.
   *
   * @throws DeposedError when other writers kept winning the race.
   */
  static async takeOver(options: ShardOwnerOptions): Promise<ShardOwner> {
    const {log, clock, logger} = options;
    for (let trial = 0; trial < TAKE_OVER_TRIALS; trial++) {
      const replay = await log.read();
      const scheduler = options.createScheduler(replay.snapshot);
      for (const record of replay.records) scheduler.replay(record);
      if (log.isFull) await log.saveSnapshot(scheduler.snapshot());
      const epoch = log.next;
      scheduler.tookOver(options.entryId, epoch, clock.now(), clock.wallTime());
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
      `Shard ${log.shard} was not taken over in ${TAKE_OVER_TRIALS} trials.`,
    );
  }

  /** Whether the shard was let go of; an owner never takes it up again. */
  get dropped(): boolean {
    return this.droppedReason !== undefined;
  }

  /** Group commits since the take-over. */
  get commitCount(): number {
    return this.commits;
  }

  /** Resolves once all that was decided so far is durable. */
  durable(): Promise<void> {
    if (this.droppedReason !== undefined) {
      return Promise.reject(this.droppedError());
    }
    if (!this.appending && !this.scheduler.hasRecords) return Promise.resolve();
    const promise = new Promise<void>((resolve, reject) => {
      this.waiting.push({resolve, reject});
    });
    this.scheduleCommit();
    return promise;
  }

  /** Sees to it that queued records are appended soon. */
  scheduleCommit(): void {
    if (this.dropped || this.appending || this.commitTimer) return;
    if (!this.scheduler.hasRecords) return;
    this.commitTimer = this.clock.schedule(this.commitDelayMillis(), () => {
      this.commitTimer = undefined;
      void this.commit();
    });
  }

  /** Lets go of the shard; whoever waits learns that the outcome is unknown. */
  drop(reason: string): void {
    if (this.dropped) return;
    this.droppedReason = reason;
    this.commitTimer?.cancel();
    this.rejectAll(this.waiting);
    this.waiting = [];
    this.logger.event(Events.SHARD_LOST, {shard: this.shard, reason});
    this.observer.onDropped(this, reason);
  }

  private commitDelayMillis(): number {
    const calm = this.clock.now() - this.committedAt > CALM_AFTER_MILLIS;
    return calm ? CALM_COMMIT_DELAY_MILLIS : BUSY_COMMIT_DELAY_MILLIS;
  }

  private async commit(): Promise<void> {
    if (this.dropped || this.appending || !this.scheduler.hasRecords) return;
    this.appending = true;
    const waiting = this.waiting;
    this.waiting = [];
    try {
      await this.appendTaken();
    } catch (error) {
      this.drop(messageOf(error));
      this.rejectAll(waiting);
      return;
    } finally {
      this.appending = false;
    }
    if (this.dropped) return this.rejectAll(waiting);
    for (const waiter of waiting) waiter.resolve();
    this.scheduleCommit();
  }

  /** Appends what is queued, and saves a snapshot when one is due. */
  private async appendTaken(): Promise<void> {
    const records = this.scheduler.takeRecords();
    await this.log.append(records, this.appendDeadlineMillis);
    if (this.dropped) return;
    this.scheduler.acknowledge();
    logRecordEvents(records, this.scheduler, this.logger);
    this.commits++;
    this.committedAt = this.clock.now();
    this.observer.onCommitted(this);
    if (this.log.snapshotIsDue) await this.trySnapshot();
  }

  /** A failed snapshot is tried again with the next commit. */
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
    for (const waiter of waiting) waiter.reject(this.droppedError());
  }

  private droppedError(): Error {
    return new ShardDroppedError(
      `Shard ${this.shard} was dropped here: ${this.droppedReason}.`,
    );
  }
}

import {attemptKey} from '../decisions/job_types.js';
import type {AttemptReport} from '../decisions/job_types.js';
import type {
  ReportAttemptsReply,
  ReportAttemptsRequest,
} from '../protocol/generated/burdockmoor.js';
import type {AgentContext} from './agent_context.js';
import type {Attempt} from './attempt_table.js';
import type {AttemptCloser} from './commands/attempt_closer.js';
import type {EntryDirectory} from './entry_directory.js';
import {withReplyDeadline} from './reply_deadline.js';

const REPORT_DEADLINE_MILLIS = 2_000;
const RETRY_AFTER_MILLIS = 500;

/** Minimum time between two calls for a shard, to batch reports. */
const BATCH_INTERVAL_MILLIS = 100;
const MAXIMUM_REPORTS_PER_CALL = 100;

/** Sends reports of ended attempts to shard owners until they're recorded. */
export class ReportSender {
  /** Shards with a call in flight. */
  private readonly shardsInFlight = new Set<number>();
  private readonly nextSendAt = new Map<number, number>();

  constructor(
    private readonly context: AgentContext,
    private readonly directory: EntryDirectory,
    private readonly closer: AttemptCloser,
  ) {}

  tick(now: number): void {
    for (const [shard, attempts] of this.endedByShard()) {
      if (this.shardsInFlight.has(shard)) continue;
      if (now < (this.nextSendAt.get(shard) ?? -Infinity)) continue;
      void this.send(shard, attempts);
    }
  }

  /** True if a report isn't recorded yet. */
  get hasReports(): boolean {
    return this.context.attempts.ended().length > 0;
  }

  private endedByShard(): Map<number, Attempt[]> {
    const byShard = new Map<number, Attempt[]>();
    for (const attempt of this.context.attempts.ended()) {
      const batch = byShard.get(attempt.shard);
      if (!batch) byShard.set(attempt.shard, [attempt]);
      else if (batch.length < MAXIMUM_REPORTS_PER_CALL) batch.push(attempt);
    }
    return byShard;
  }

  private async send(shard: number, attempts: Attempt[]): Promise<void> {
    const {clock, leases} = this.context;
    const owner = leases.ownerOf(shard);
    const channel = owner && this.directory.findByEntryId(owner);
    if (!channel) return;
    this.shardsInFlight.add(shard);
    let delayMillis = RETRY_AFTER_MILLIS;
    try {
      const response = channel.link.reportAttempts(
        this.buildRequest(shard, attempts),
      );
      const reply = await withReplyDeadline(
        clock,
        response,
        REPORT_DEADLINE_MILLIS,
        `report attempts to ${owner}`,
      );
      this.acknowledgeRecorded(attempts, reply);
      if (reply.recorded.length > 0) delayMillis = BATCH_INTERVAL_MILLIS;
    } catch {
      // The owner did not respond: the reports are sent again, to the owner
      // at that time.
    } finally {
      this.shardsInFlight.delete(shard);
      this.nextSendAt.set(shard, clock.now() + delayMillis);
    }
  }

  private buildRequest(
    shard: number,
    attempts: readonly Attempt[],
  ): ReportAttemptsRequest {
    const {agentId, incarnation} = this.context.identity;
    const reports: AttemptReport[] = [];
    for (const {report} of attempts) if (report) reports.push(report);
    return {agentId, incarnation, shard, reports};
  }

  private acknowledgeRecorded(
    attempts: Attempt[],
    reply: ReportAttemptsReply,
  ): void {
    const recorded = new Set(reply.recorded.map(attemptKey));
    this.closer.acknowledge(
      attempts.filter(attempt => recorded.has(attempt.key)),
    );
  }
}

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

/** Reports that end up within this time share a call. */
const GATHER_MILLIS = 100;
const REPORTS_PER_CALL = 100;

/** Sends the reports of ended attempts to the owners until the log has them. */
export class ReportSender {
  /** Shards with a call under way. */
  private readonly underWay = new Set<number>();
  private readonly retryAt = new Map<number, number>();

  constructor(
    private readonly context: AgentContext,
    private readonly directory: EntryDirectory,
    private readonly closer: AttemptCloser,
  ) {}

  tick(now: number): void {
    for (const [shard, attempts] of this.endedByShard()) {
      if (this.underWay.has(shard)) continue;
      if (now < (this.retryAt.get(shard) ?? -Infinity)) continue;
      void this.send(shard, attempts);
    }
  }

  /** Whether reports wait to be recorded. */
  get hasReports(): boolean {
    return this.context.attempts.ended().length > 0;
  }

  private endedByShard(): Map<number, Attempt[]> {
    const byShard = new Map<number, Attempt[]>();
    for (const attempt of this.context.attempts.ended()) {
      const group = byShard.get(attempt.shard);
      if (!group) byShard.set(attempt.shard, [attempt]);
      else if (group.length < REPORTS_PER_CALL) group.push(attempt);
    }
    return byShard;
  }

  private async send(shard: number, attempts: Attempt[]): Promise<void> {
    const {clock, leases} = this.context;
    const owner = leases.ownerOf(shard);
    const channel = owner && this.directory.byEntryId(owner);
    if (!channel) return;
    this.underWay.add(shard);
    let pauseMillis = RETRY_AFTER_MILLIS;
    try {
      const answer = channel.link.reportAttempts(
        this.requestFor(shard, attempts),
      );
      const reply = await withReplyDeadline(
        clock,
        answer,
        REPORT_DEADLINE_MILLIS,
        `report attempts to ${owner}`,
      );
      this.takeIn(attempts, reply);
      if (reply.recorded.length > 0) pauseMillis = GATHER_MILLIS;
    } catch {
      // The owner is silent or gone: it, or the next one, is asked again.
    } finally {
      this.underWay.delete(shard);
      this.retryAt.set(shard, clock.now() + pauseMillis);
    }
  }

  private requestFor(
    shard: number,
    attempts: readonly Attempt[],
  ): ReportAttemptsRequest {
    const {agentId, incarnation} = this.context.identity;
    const reports: AttemptReport[] = [];
    for (const {report} of attempts) if (report) reports.push(report);
    return {agentId, incarnation, shard, reports};
  }

  private takeIn(attempts: Attempt[], reply: ReportAttemptsReply): void {
    const recorded = new Set(reply.recorded.map(attemptKey));
    this.closer.acknowledge(
      attempts.filter(attempt => recorded.has(attempt.key)),
    );
  }
}

import {ResultCodes} from '../observability/result_codes.js';
import {Events} from '../observability/events.js';
import {isWorkerSilent} from './agent_context.js';
import type {AgentContext} from './agent_context.js';
import type {Attempt} from './attempt_table.js';
import type {ShardLeaseState} from './shard_leases.js';
import type {AttemptStopper} from './commands/attempt_stopper.js';
import {evictionIntent} from './commands/attempt_stopper.js';
import {withReplyDeadline} from './reply_deadline.js';

/** Share of a lease that may pass before it is renewed at the worker. */
const RENEW_AFTER_LEASE_SHARE = 0.3;

/** Share of a lease, at its end, that is reserved for a last checkpoint. */
const LAST_CHECKPOINT_LEASE_SHARE = 0.15;

const RENEW_DEADLINE_MILLIS = 1_000;

/**
 * Renews leases at the worker as shard owners extend them, and stops attempts
 * whose lease is about to expire. An expired lease is never renewed.
 */
export class LeaseKeeper {
  private isRenewing = false;

  constructor(
    private readonly context: AgentContext,
    private readonly stopper: AttemptStopper,
  ) {}

  /** Applies leases from an owner; expired attempts stay expired. */
  applyLeases(leases: readonly ShardLeaseState[], now: number): void {
    if (leases.length === 0) return;
    this.stopExpired(now);
    for (const lease of leases) this.context.leases.renew(lease);
  }

  tick(now: number): void {
    this.stopExpired(now);
    // A renewal that got no response may still arrive later, so a silent
    // worker is sent none.
    if (this.isRenewing || isWorkerSilent(this.context)) return;
    const batches = this.dueRenewals(now);
    if (batches.size === 0) return;
    this.isRenewing = true;
    void this.renewAll(batches).finally(() => (this.isRenewing = false));
  }

  private stopExpired(now: number): void {
    const {taskLeaseMillis} = this.context.settings.fleet;
    const marginMillis = LAST_CHECKPOINT_LEASE_SHARE * taskLeaseMillis;
    for (const attempt of this.context.attempts.live()) {
      if (now < this.expiresAt(attempt) - marginMillis) continue;
      if (now >= this.expiresAt(attempt)) attempt.lapsed = true;
      if (attempt.stopIntent) continue;
      this.context.logger.event(Events.TASK_LEASE_LAPSED, {
        attempt: attempt.key,
      });
      const reason = 'the lease of the task expired';
      const code = ResultCodes.LEASE_LAPSED.number;
      this.stopper.stop(attempt, evictionIntent(reason, code));
    }
  }

  private expiresAt(attempt: Attempt): number {
    const shardEnd = this.context.leases.endsAt(attempt.shard);
    return attempt.lapsed ? -Infinity : Math.max(shardEnd, attempt.leaseEndsAt);
  }

  /** Returns the attempts to renew at the worker, by the new end of lease. */
  private dueRenewals(now: number): Map<number, Attempt[]> {
    const {attempts, leases, settings} = this.context;
    const batches = new Map<number, Attempt[]>();
    const leaseMillis = settings.fleet.taskLeaseMillis;
    const dueBefore = now + (1 - RENEW_AFTER_LEASE_SHARE) * leaseMillis;
    for (const attempt of attempts.live()) {
      if (attempt.missing || attempt.lapsed) continue;
      const endsAt = leases.endsAt(attempt.shard);
      if (attempt.leaseConfirmedUntil >= Math.min(endsAt, dueBefore)) continue;
      if (attempt.seenAt === undefined) continue;
      const batch = batches.get(endsAt);
      if (batch) batch.push(attempt);
      else batches.set(endsAt, [attempt]);
    }
    return batches;
  }

  private async renewAll(batches: Map<number, Attempt[]>): Promise<void> {
    for (const [endsAt, attempts] of batches) {
      await this.renew(attempts, endsAt).catch(() => undefined);
    }
  }

  private async renew(attempts: Attempt[], endsAt: number): Promise<void> {
    const {clock, worker, workerClock} = this.context;
    if (!workerClock.isKnown || endsAt <= clock.now()) return;
    for (const attempt of attempts) {
      attempt.leaseEndsAt = Math.max(attempt.leaseEndsAt, endsAt);
    }
    const ids = attempts.map(attempt => attempt.taskId);
    const response = worker.renew(ids, workerClock.toWorkerTime(endsAt));
    const description = `renew ${ids.length} tasks`;
    await withReplyDeadline(
      clock,
      response,
      RENEW_DEADLINE_MILLIS,
      description,
    );
    for (const attempt of attempts) {
      attempt.leaseConfirmedUntil = Math.max(
        attempt.leaseConfirmedUntil,
        endsAt,
      );
    }
  }
}

import {MAXIMUM_TASK_LEASE_MILLIS} from '../../settings/settings_types.js';
import type {AttemptLifecycle} from '../jobs/attempt_lifecycle.js';
import type {OpenAttempt} from '../jobs/open_attempts.js';
import type {ShardState} from '../jobs/shard_state.js';
import {AttemptOutcome} from '../job_types.js';

/**
 * Closes attempts that are guaranteed to have ended although no agent reported
 * it: no heartbeat of their VM was answered for the task lease and a margin.
 */
export class LossDetector {
  constructor(
    private readonly state: ShardState,
    private readonly lifecycle: AttemptLifecycle,
  ) {}

  run(now: number, wallTime: number): void {
    const {attempts, limits} = this.state;
    for (const vm of [...attempts.vms()]) {
      if (now <= this.leasedUntil(vm) + limits.lossMarginMillis) continue;
      this.closeLost(vm, now, wallTime);
    }
  }

  /** A lease keeps its granted duration when the setting changes. */
  private leasedUntil(vm: string): number {
    return this.state.vms.get(vm)?.leasedUntil ?? -Infinity;
  }

  private closeLost(vm: string, now: number, wallTime: number): void {
    const {attempts, limits} = this.state;
    for (const attempt of [...attempts.onVm(vm)]) {
      const leasedUntil = attempt.placedAt + this.leaseMillisOf(attempt);
      if (now <= leasedUntil + limits.lossMarginMillis) continue;
      this.closeOne(attempt, now, wallTime);
    }
  }

  /** An earlier owner may have granted any lease up to the maximum. */
  private leaseMillisOf(attempt: OpenAttempt): number {
    if (attempt.inherited) return MAXIMUM_TASK_LEASE_MILLIS;
    return this.state.fleet.taskLeaseMillis;
  }

  private closeOne(attempt: OpenAttempt, now: number, wallTime: number): void {
    const outcome = attempt.neverSent
      ? AttemptOutcome.REFUSED
      : AttemptOutcome.LOST;
    const reason = 'the VM was silent for longer than the task lease';
    this.lifecycle.closeAs(attempt, outcome, reason, now, wallTime);
  }
}

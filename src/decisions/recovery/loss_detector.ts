import type {AttemptLifecycle} from '../jobs/attempt_lifecycle.js';
import type {OpenAttempt} from '../jobs/open_attempts.js';
import type {ShardState} from '../jobs/shard_state.js';
import {AttemptOutcome} from '../job_types.js';

/**
 * Closes attempts that have ended for sure although no agent said so: their
 * VM got no answer to a heartbeat for the lease and a margin.
 */
export class LossDetector {
  constructor(
    private readonly state: ShardState,
    private readonly lifecycle: AttemptLifecycle,
  ) {}

  run(now: number, wallTime: number): void {
    for (const vm of [...this.state.attempts.vms()]) {
      const silent = this.silentMillis(vm, now);
      if (silent <= this.lostAfterMillis) continue;
      this.closeLost(vm, now, wallTime);
    }
  }

  private get lostAfterMillis(): number {
    const {fleet, limits} = this.state;
    return fleet.taskLeaseMillis + limits.lossMarginMillis;
  }

  private silentMillis(vm: string, now: number): number {
    const known = this.state.vms.get(vm);
    return known ? now - known.answeredAt : Infinity;
  }

  private closeLost(vm: string, now: number, wallTime: number): void {
    for (const attempt of [...this.state.attempts.onVm(vm)]) {
      if (now - attempt.placedAt <= this.lostAfterMillis) continue;
      this.closeOne(attempt, now, wallTime);
    }
  }

  private closeOne(attempt: OpenAttempt, now: number, wallTime: number): void {
    const outcome = attempt.neverSent
      ? AttemptOutcome.REFUSED
      : AttemptOutcome.LOST;
    const reason = 'the VM was silent for longer than the task lease';
    this.lifecycle.closeAs(attempt, outcome, reason, now, wallTime);
  }
}

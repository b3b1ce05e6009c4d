import type {AttemptLifecycle} from '../jobs/attempt_lifecycle.js';
import type {OpenAttempt} from '../jobs/open_attempts.js';
import type {ShardState} from '../jobs/shard_state.js';
import {AttemptOutcome} from '../job_types.js';

const OUT_REASON = 'the VM or its failure domain was taken out';

/**
 * Moves attempts off VMs that operators took out: those that were never sent
 * at once, the others with a checkpoint, urgent ones first and a few at a time.
 */
export class Evacuation {
  /** VMs that attempts were told to leave. */
  private readonly left = new Set<string>();
  private allowance = 0;
  private filledAt = 0;

  constructor(
    private readonly state: ShardState,
    private readonly lifecycle: AttemptLifecycle,
  ) {}

  run(now: number, wallTime: number): void {
    this.fill(now);
    const moving: OpenAttempt[] = [];
    for (const vm of this.left) if (!this.state.isOut(vm)) this.stay(vm);
    for (const vm of this.outWithAttempts()) {
      this.left.add(vm);
      this.leave(vm, moving, now, wallTime);
    }
    moving.sort(byUrgency);
    for (const attempt of moving) {
      if (this.allowance < 1) return;
      this.allowance--;
      this.state.attempts.stop(attempt, OUT_REASON, true);
    }
  }

  private outWithAttempts(): string[] {
    const {failureDomainsOut, drainedVms} = this.state.fleet;
    if (failureDomainsOut.size + drainedVms.size === 0) return [];
    return [...this.state.attempts.vms()].filter(vm => this.state.isOut(vm));
  }

  private leave(
    vm: string,
    moving: OpenAttempt[],
    now: number,
    wallTime: number,
  ): void {
    for (const attempt of [...this.state.attempts.onVm(vm)]) {
      if (attempt.neverSent) {
        this.withdraw(attempt, now, wallTime);
      } else if (attempt.stopReason === undefined) {
        moving.push(attempt);
      }
    }
  }

  private stay(vm: string): void {
    this.left.delete(vm);
    for (const attempt of this.state.attempts.onVm(vm)) {
      if (attempt.stopReason !== OUT_REASON) continue;
      if (attempt.stops.sends === 0) this.state.attempts.keep(attempt);
    }
  }

  private withdraw(attempt: OpenAttempt, now: number, wallTime: number): void {
    const outcome = AttemptOutcome.REFUSED;
    this.lifecycle.closeAs(attempt, outcome, OUT_REASON, now, wallTime);
  }

  private fill(now: number): void {
    const rate = this.state.limits.evacuationsPerSecond;
    const filled = this.allowance + ((now - this.filledAt) * rate) / 1000;
    this.allowance = Math.min(rate, filled);
    this.filledAt = now;
  }
}

function byUrgency(left: OpenAttempt, right: OpenAttempt): number {
  const leftUrgent = left.job.specification.urgency === 'urgent' ? 0 : 1;
  const rightUrgent = right.job.specification.urgency === 'urgent' ? 0 : 1;
  return leftUrgent - rightUrgent || left.job.sequence - right.job.sequence;
}

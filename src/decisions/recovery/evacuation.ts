import type {AttemptLifecycle} from '../jobs/attempt_lifecycle.js';
import type {OpenAttempt} from '../jobs/open_attempts.js';
import type {ShardState} from '../jobs/shard_state.js';
import {AttemptOutcome} from '../job_types.js';

const OUT_REASON = 'the VM or its failure domain was taken out';

/**
 * Moves attempts off VMs that operators took out. Attempts whose start was
 * never sent are closed at once; the others are stopped with a checkpoint at a
 * limited rate, urgent ones first.
 */
export class Evacuation {
  /** VMs whose attempts are being moved off. */
  private readonly leaving = new Set<string>();
  private allowance = 0;
  private filledAt = 0;

  constructor(
    private readonly state: ShardState,
    private readonly lifecycle: AttemptLifecycle,
  ) {}

  run(now: number, wallTime: number): void {
    this.refillAllowance(now);
    const moving: OpenAttempt[] = [];
    for (const vm of this.leaving)
      if (!this.state.isOut(vm)) this.cancelStops(vm);
    for (const vm of this.excludedVmsWithAttempts()) {
      this.leaving.add(vm);
      this.collectAttempts(vm, moving, now, wallTime);
    }
    moving.sort(byUrgency);
    for (const attempt of moving) {
      if (this.allowance < 1) return;
      this.allowance--;
      this.state.attempts.stop(attempt, OUT_REASON, true);
    }
  }

  private excludedVmsWithAttempts(): string[] {
    const {failureDomainsOut, drainedVms} = this.state.fleet;
    if (failureDomainsOut.size + drainedVms.size === 0) return [];
    return [...this.state.attempts.vms()].filter(vm => this.state.isOut(vm));
  }

  private collectAttempts(
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

  private cancelStops(vm: string): void {
    this.leaving.delete(vm);
    for (const attempt of this.state.attempts.onVm(vm)) {
      if (attempt.stopReason !== OUT_REASON) continue;
      if (attempt.stops.sends === 0) this.state.attempts.keep(attempt);
    }
  }

  private withdraw(attempt: OpenAttempt, now: number, wallTime: number): void {
    const outcome = AttemptOutcome.REFUSED;
    this.lifecycle.closeAs(attempt, outcome, OUT_REASON, now, wallTime);
  }

  private refillAllowance(now: number): void {
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

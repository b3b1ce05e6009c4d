import {Urgency} from '../../settings/settings_types.js';
import type {Resources} from '../../utilities/resources.js';
import {fitsInto} from '../../utilities/resources.js';
import type {JobState} from '../jobs/job_state.js';
import type {OpenAttempt} from '../jobs/open_attempts.js';
import type {ShardState} from '../jobs/shard_state.js';
import type {ReadyJob} from './ready_queue.js';
import type {VmState} from './vm_table.js';

const URGENT_RESERVATION_MILLIS = 2000;
const URGENT_RESERVATIONS_PER_DECISION = 4;
const STARVING_MILLIS = 60_000;
const STARVING_RESERVATION_MILLIS = 60_000;
const URGENT_CAPACITY_REASON = 'an urgent task needs the capacity';

interface Plan {
  readonly vm: VmState;
  readonly moved: readonly OpenAttempt[];
}

/**
 * Reserves capacity for jobs that can't be placed. For an urgent task, it stops
 * normal attempts on a VM with a checkpoint so that they move elsewhere. For a
 * normal job that has waited long, it keeps other jobs off the VM with the most
 * free processors.
 */
export class CapacityReserver {
  private readonly reservations = new Map<string, VmState>();
  private urgentReservations = 0;

  constructor(private readonly state: ShardState) {}

  beginRound(now: number): void {
    this.urgentReservations = 0;
    for (const [job, vm] of this.reservations) {
      const ended = vm.reservedUntil <= now || vm.reservedFor !== job;
      if (ended) this.reservations.delete(job);
    }
  }

  /** True if capacity is reserved for any job. */
  get hasReservations(): boolean {
    return this.reservations.size > 0;
  }

  hasReservationFor(job: JobState): boolean {
    return this.reservations.has(job.key);
  }

  /** Called when a task was placed; ends the job's reservation on that VM. */
  placed(ready: ReadyJob, on: VmState): void {
    const {job} = ready;
    ready.blockedSince = undefined;
    if (this.reservations.get(job.key) !== on) return;
    on.reservedUntil = 0;
    this.reservations.delete(job.key);
  }

  /** Called when agents refused the job's next task despite free capacity. */
  refused(job: JobState, size: Resources, now: number): void {
    const {urgentEvictionDelayMillis} = this.state.limits;
    const urgent =
      job.specification.urgency === Urgency.URGENT &&
      urgentEvictionDelayMillis < Infinity;
    if (urgent && !this.reservations.has(job.key))
      this.freeCapacity(job, size, now);
  }

  /** Called when no VM can take the job's next task. */
  blocked(ready: ReadyJob, size: Resources, now: number): void {
    ready.blockedSince ??= now;
    const waited = now - ready.blockedSince;
    const {job} = ready;
    if (job.specification.urgency === Urgency.URGENT) {
      if (waited < this.state.limits.urgentEvictionDelayMillis) return;
      if (!this.reservations.has(job.key)) this.freeCapacity(job, size, now);
    } else if (waited >= STARVING_MILLIS && this.reservations.size === 0) {
      this.reserveCapacity(job, size, now);
    }
  }

  private freeCapacity(job: JobState, size: Resources, now: number): void {
    if (this.urgentReservations >= URGENT_RESERVATIONS_PER_DECISION) return;
    this.urgentReservations++;
    const plan = this.cheapestPlan(size, now);
    if (!plan) return;
    for (const attempt of plan.moved) {
      this.state.attempts.stop(attempt, URGENT_CAPACITY_REASON, true);
    }
    this.reserve(plan.vm, job, now + URGENT_RESERVATION_MILLIS);
  }

  /** Returns the plan that moves the fewest attempts, youngest first. */
  private cheapestPlan(size: Resources, now: number): Plan | undefined {
    let best: Plan | undefined;
    for (const vm of this.state.vms.vms) {
      if (!vm.usable || vm.refused || vm.reservedUntil > now) continue;
      if (!fitsInto(size, vm.view.capacity)) continue;
      const moved = this.attemptsToMove(vm, size);
      if (!moved) continue;
      if (best && best.moved.length <= moved.length) continue;
      best = {vm, moved};
      if (moved.length <= 1) return best;
    }
    return best;
  }

  private attemptsToMove(
    vm: VmState,
    size: Resources,
  ): OpenAttempt[] | undefined {
    let milliprocessors = size.milliprocessors - vm.freeMilliprocessors;
    let memoryMegabytes = size.memoryMegabytes - vm.freeMemoryMegabytes;
    let accelerators = size.accelerators - vm.freeAccelerators;
    const moved: OpenAttempt[] = [];
    const movable = [...this.state.attempts.onVm(vm.view.vm)].filter(isMovable);
    movable.sort((left, right) => right.placedAt - left.placedAt);
    for (const attempt of movable) {
      if (milliprocessors <= 0 && memoryMegabytes <= 0 && accelerators <= 0) {
        break;
      }
      moved.push(attempt);
      milliprocessors -= attempt.size.milliprocessors;
      memoryMegabytes -= attempt.size.memoryMegabytes;
      accelerators -= attempt.size.accelerators;
    }
    const enough =
      milliprocessors <= 0 && memoryMegabytes <= 0 && accelerators <= 0;
    return enough ? moved : undefined;
  }

  private reserveCapacity(job: JobState, size: Resources, now: number): void {
    let best: VmState | undefined;
    for (const vm of this.state.vms.vms) {
      if (!vm.usable || vm.reservedUntil > now) continue;
      if (!fitsInto(size, vm.view.capacity)) continue;
      if (best && best.freeMilliprocessors >= vm.freeMilliprocessors) continue;
      best = vm;
    }
    if (best) this.reserve(best, job, now + STARVING_RESERVATION_MILLIS);
  }

  private reserve(vm: VmState, job: JobState, until: number): void {
    vm.reservedFor = job.key;
    vm.reservedUntil = until;
    this.reservations.set(job.key, vm);
  }
}

function isMovable(attempt: OpenAttempt): boolean {
  const normal = attempt.job.specification.urgency === Urgency.NORMAL;
  const running = attempt.confirmed && attempt.stopReason === undefined;
  return normal && running && !attempt.job.watcher;
}

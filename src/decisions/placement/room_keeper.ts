import {Urgency} from '../../settings/settings_types.js';
import type {Resources} from '../../utilities/resources.js';
import {fitsInto} from '../../utilities/resources.js';
import type {JobState} from '../jobs/job_state.js';
import type {OpenAttempt} from '../jobs/open_attempts.js';
import type {ShardState} from '../jobs/shard_state.js';
import type {ReadyJob} from './ready_queue.js';
import type {VmState} from './vm_table.js';

const URGENT_HOLD_MILLIS = 2000;
const URGENT_HOLDS_PER_DECISION = 4;
const STARVING_MILLIS = 60_000;
const STARVING_HOLD_MILLIS = 60_000;
const URGENT_ROOM_REASON = 'an urgent task needs the room';

interface Plan {
  readonly vm: VmState;
  readonly moved: readonly OpenAttempt[];
}

/**
 * Keeps room for jobs that find none: for an urgent task by moving normal ones
 * off a VM with a checkpoint, for one that has waited long by keeping smaller
 * ones off the VM with the most room.
 */
export class RoomKeeper {
  private readonly holds = new Map<string, VmState>();
  private urgentHolds = 0;

  constructor(private readonly state: ShardState) {}

  beginRound(now: number): void {
    this.urgentHolds = 0;
    for (const [job, vm] of this.holds) {
      const ended = vm.heldUntil <= now || vm.heldFor !== job;
      if (ended) this.holds.delete(job);
    }
  }

  /** Whether room is kept for any job. */
  get keepsRoom(): boolean {
    return this.holds.size > 0;
  }

  isKeptFor(job: JobState): boolean {
    return this.holds.has(job.key);
  }

  /** One of the job's tasks was placed: the room kept there is used. */
  placed(ready: ReadyJob, on: VmState): void {
    const {job} = ready;
    ready.blockedSince = undefined;
    if (this.holds.get(job.key) !== on) return;
    on.heldUntil = 0;
    this.holds.delete(job.key);
  }

  /** Agents refused the job's next task: what looks free is not. */
  refused(job: JobState, size: Resources, now: number): void {
    const {urgentPatienceMillis} = this.state.limits;
    const urgent =
      job.specification.urgency === Urgency.URGENT &&
      urgentPatienceMillis < Infinity;
    if (urgent && !this.holds.has(job.key)) this.makeRoom(job, size, now);
  }

  /** No VM has room for the job's next task. */
  blocked(ready: ReadyJob, size: Resources, now: number): void {
    ready.blockedSince ??= now;
    const waited = now - ready.blockedSince;
    const {job} = ready;
    if (job.specification.urgency === Urgency.URGENT) {
      if (waited < this.state.limits.urgentPatienceMillis) return;
      if (!this.holds.has(job.key)) this.makeRoom(job, size, now);
    } else if (waited >= STARVING_MILLIS && this.holds.size === 0) {
      this.keepRoom(job, size, now);
    }
  }

  private makeRoom(job: JobState, size: Resources, now: number): void {
    if (this.urgentHolds >= URGENT_HOLDS_PER_DECISION) return;
    this.urgentHolds++;
    const plan = this.cheapestPlan(size, now);
    if (!plan) return;
    for (const attempt of plan.moved) {
      this.state.attempts.stop(attempt, URGENT_ROOM_REASON, true);
    }
    this.hold(plan.vm, job, now + URGENT_HOLD_MILLIS);
  }

  /** Moves the fewest attempts; the youngest of them have done the least. */
  private cheapestPlan(size: Resources, now: number): Plan | undefined {
    let best: Plan | undefined;
    for (const vm of this.state.vms.vms) {
      if (!vm.usable || vm.refused || vm.heldUntil > now) continue;
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

  private keepRoom(job: JobState, size: Resources, now: number): void {
    let best: VmState | undefined;
    for (const vm of this.state.vms.vms) {
      if (!vm.usable || vm.heldUntil > now) continue;
      if (!fitsInto(size, vm.view.capacity)) continue;
      if (best && best.freeMilliprocessors >= vm.freeMilliprocessors) continue;
      best = vm;
    }
    if (best) this.hold(best, job, now + STARVING_HOLD_MILLIS);
  }

  private hold(vm: VmState, job: JobState, until: number): void {
    vm.heldFor = job.key;
    vm.heldUntil = until;
    this.holds.set(job.key, vm);
  }
}

function isMovable(attempt: OpenAttempt): boolean {
  const normal = attempt.job.specification.urgency === Urgency.NORMAL;
  const running = attempt.confirmed && attempt.stopReason === undefined;
  return normal && running && !attempt.job.watcher;
}

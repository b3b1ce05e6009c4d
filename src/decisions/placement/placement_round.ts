import {Urgency} from '../../settings/settings_types.js';
import type {Resources} from '../../utilities/resources.js';
import {fitsInto} from '../../utilities/resources.js';
import type {AttemptLifecycle} from '../jobs/attempt_lifecycle.js';
import {KeyHeap} from '../jobs/key_heap.js';
import type {JobState} from '../jobs/job_state.js';
import {taskKey} from '../jobs/shard_state.js';
import type {ShardState} from '../jobs/shard_state.js';
import {PlacementObstacle} from './placer.js';
import type {PlacementChoice, PlacementTask} from './placer.js';
import type {ReadyJob} from './ready_queue.js';
import {CapacityReserver} from './capacity_reserver.js';
import type {VmState} from './vm_table.js';

const REFRESH_MILLIS = 20;
/** Interval of passes that try every normal job, even if none may fit. */
const FULL_PASS_MILLIS = 100;
const OVERDUE_MILLIS = 5 * 60 * 1000;

interface KindObstacle {
  readonly size: Resources;
  readonly obstacle: PlacementObstacle;
}

/**
 * Places ready tasks: urgent jobs first; within an urgency, the team with the
 * smallest weighted share first, and its oldest job first. A job that can't be
 * placed doesn't block other jobs.
 */
export class PlacementRound {
  /** Sizes for which no VM had enough free capacity in this round. */
  private unplaceableSizes: Resources[] = [];
  /** By kind: why VMs with free capacity were not used, and for which size. */
  private readonly harmful = new Map<string, KindObstacle>();
  private readonly blocked = new Set<JobState>();
  private readonly keeper: CapacityReserver;
  private budget = 0;
  private nextRefreshAt = -Infinity;
  private nextFullPassAt = -Infinity;
  /** Smallest amount of each resource among ready normal jobs; lazily set. */
  private leastSize: Resources | undefined;

  constructor(
    private readonly state: ShardState,
    private readonly lifecycle: AttemptLifecycle,
  ) {
    this.keeper = new CapacityReserver(state);
  }

  run(now: number, wallTime: number): void {
    this.unplaceableSizes = [];
    this.harmful.clear();
    this.blocked.clear();
    this.leastSize = undefined;
    this.keeper.beginRound(now);
    if (now >= this.nextRefreshAt) this.refreshAll(now);
    if (this.state.ready.size === 0) return;
    this.budget = this.state.limits.placementsPerDecision;
    this.placeAll(Urgency.URGENT, now, wallTime);
    this.budget = Math.min(this.budget, this.state.pacer.available(now));
    this.placeAll(Urgency.NORMAL, now, wallTime);
  }

  private placeAll(urgency: Urgency, now: number, wallTime: number): void {
    const teams = new KeyHeap<string>();
    for (const team of this.state.ready.teams(urgency)) {
      teams.add(this.state.ledger.share(team), team);
    }
    const fullPass = urgency === Urgency.URGENT || now >= this.nextFullPassAt;
    if (urgency === Urgency.NORMAL && fullPass) {
      this.nextFullPassAt = now + FULL_PASS_MILLIS;
    }
    while (this.budget > 0) {
      if (!fullPass && this.isNoNormalJobPlaceable()) return;
      const team = teams.removeFirst();
      if (team === undefined) return;
      const placed = this.placeNext(urgency, team, now, wallTime);
      if (placed) teams.add(this.state.ledger.share(team), team);
    }
  }

  /** True if not even the smallest normal job fits on any VM. */
  private isNoNormalJobPlaceable(): boolean {
    if (this.unplaceableSizes.length === 0 || this.keeper.hasReservations)
      return false;
    this.leastSize ??= this.state.ready.minimumSize(Urgency.NORMAL);
    for (const unplaceable of this.unplaceableSizes) {
      if (fitsInto(unplaceable, this.leastSize)) return true;
    }
    return false;
  }

  /** Places one task of the team's first job that can be placed. */
  private placeNext(
    urgency: Urgency,
    team: string,
    now: number,
    wallTime: number,
  ): boolean {
    for (const ready of this.state.ready.jobs(urgency, team)) {
      if (this.blocked.has(ready.job)) continue;
      if (this.placeOne(ready, now, wallTime)) return true;
    }
    return false;
  }

  private placeOne(ready: ReadyJob, now: number, wallTime: number): boolean {
    const {job} = ready;
    const {ledger} = this.state;
    const {size, team} = job.specification;
    if (this.isKnownUnplaceable(job, size)) {
      this.keeper.blocked(ready, size, now);
      this.explainKind(job, size);
      return false;
    }
    const task = this.describe(ready, now);
    if (!ledger.allows(team, task.size)) {
      return this.block(job, 'the quota of its team is used up');
    }
    if (task.refusals > 0) this.keeper.refused(job, task.size, now);
    const choice = this.choose(job, task, now);
    if (typeof choice === 'string') {
      this.keeper.blocked(ready, task.size, now);
      return this.block(job, choice);
    }
    const index = this.state.ready.take(ready);
    if (index === undefined) return false;
    this.budget--;
    this.state.pacer.take();
    this.state.judge.recordPlacement(choice.vm.view.vm, now);
    this.state.tailBackoff.placed(choice.vm.view.vm, task.taskKind, now);
    this.state.waitReasons.delete(job.key);
    this.keeper.placed(ready, choice.vm);
    this.lifecycle.place(job, index, task.size, choice, now, wallTime);
    this.refresh(choice.vm, now);
    return true;
  }

  private explainKind(job: JobState, size: Resources): void {
    const kind = this.harmful.get(job.specification.taskKind);
    if (!kind || !fitsInto(kind.size, size)) return;
    this.state.waitReasons.set(job.key, kind.obstacle);
  }

  /**
   * True if the kind, or a size that is no larger, could not be placed in this
   * round and the job has no reserved capacity.
   */
  private isKnownUnplaceable(job: JobState, size: Resources): boolean {
    const {taskKind} = job.specification;
    const harmful = this.harmful.get(taskKind);
    if (harmful && fitsInto(harmful.size, size))
      return !this.keeper.hasReservationFor(job);
    for (const unplaceable of this.unplaceableSizes) {
      if (fitsInto(unplaceable, size))
        return !this.keeper.hasReservationFor(job);
    }
    return false;
  }

  private describe(ready: ReadyJob, now: number): PlacementTask {
    const {job, tasks, blockedSince = now} = ready;
    const {team, taskKind, size, urgency} = job.specification;
    const {backoff, tailBackoff} = this.state;
    const urgent = urgency === Urgency.URGENT;
    const next = taskKey(job, tasks[tasks.length - 1]);
    return {
      job: job.key,
      team,
      taskKind,
      size: this.reservation(team, taskKind, size),
      urgent,
      watcher: job.watcher,
      avoid: backoff.avoided(next, now),
      // Agents don't refuse urgent tasks to protect tail latency.
      backedOffVms: urgent ? undefined : tailBackoff.vmsFor(taskKind),
      overdue: now - blockedSince > OVERDUE_MILLIS,
      refusals: backoff.refusals(next),
    };
  }

  /**
   * Returns the learned size, or the declared one if the learned size exceeds
   * every VM or the team's quota.
   */
  private reservation(
    team: string,
    taskKind: string,
    declared: Resources,
  ): Resources {
    const {learner, ledger, vms} = this.state;
    const learned = learner.reservation(team, taskKind, declared);
    if (learned === declared) return declared;
    const possible =
      vms.couldEverFit(learned) && ledger.couldEverAllow(team, learned);
    return possible ? learned : declared;
  }

  private choose(
    job: JobState,
    task: PlacementTask,
    now: number,
  ): PlacementChoice | PlacementObstacle {
    if (this.isKnownUnplaceable(job, task.size))
      return PlacementObstacle.NO_ROOM;
    const choice = this.state.placer.choose(task, this.state.vms.vms, now);
    if (task.avoid.length > 0) return choice;
    if (choice === PlacementObstacle.NO_ROOM)
      this.unplaceableSizes.push(task.size);
    if (
      choice === PlacementObstacle.HARMFUL ||
      choice === PlacementObstacle.HELD_BACK
    ) {
      const {size, taskKind} = task;
      this.harmful.set(taskKind, {size, obstacle: choice});
    }
    return choice;
  }

  private block(job: JobState, reason: string): boolean {
    this.blocked.add(job);
    this.state.waitReasons.set(job.key, reason);
    return false;
  }

  private refreshAll(now: number): void {
    this.nextRefreshAt = now + REFRESH_MILLIS;
    for (const vm of this.state.vms.vms) this.refresh(vm, now);
  }

  private refresh(vm: VmState, now: number): void {
    const {judge, limits, pacer} = this.state;
    const {view} = vm;
    vm.usable =
      now - vm.lastHeartbeatAt <= limits.vmFreshMillis &&
      !view.draining &&
      !view.stopping &&
      !view.recovering &&
      vm.unconfirmed < pacer.unconfirmedPerVm &&
      !this.state.isOut(view.vm) &&
      judge.admits(view.vm, now);
  }
}

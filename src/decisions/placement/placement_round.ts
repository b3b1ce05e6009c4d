import {Urgency} from '../../settings/settings_types.js';
import type {Resources} from '../../utilities/resources.js';
import {fitsInto} from '../../utilities/resources.js';
import type {AttemptLifecycle} from '../jobs/attempt_lifecycle.js';
import type {JobState} from '../jobs/job_state.js';
import {taskKey} from '../jobs/shard_state.js';
import type {ShardState} from '../jobs/shard_state.js';
import type {PlacementChoice, PlacementTask} from './placer.js';
import type {ReadyJob} from './ready_queue.js';
import {RoomKeeper} from './room_keeper.js';
import type {VmState} from './vm_table.js';

/**
 * Places what can be placed: urgent jobs first, then the team with the least
 * weighted share, its oldest job first. A job that finds no room blocks nobody.
 */
export class PlacementRound {
  /** Sizes that found no room in this round. */
  private noRoom: Resources[] = [];
  private readonly blocked = new Set<JobState>();
  private readonly keeper: RoomKeeper;
  private budget = 0;

  constructor(
    private readonly state: ShardState,
    private readonly lifecycle: AttemptLifecycle,
  ) {
    this.keeper = new RoomKeeper(state);
  }

  run(now: number, wallTime: number): void {
    this.noRoom = [];
    this.blocked.clear();
    this.keeper.beginRound(now);
    for (const vm of this.state.vms.vms) this.refresh(vm, now);
    this.budget = this.state.limits.placementsPerDecision;
    this.placeAll(Urgency.URGENT, now, wallTime);
    this.budget = Math.min(this.budget, this.state.pacer.available(now));
    this.placeAll(Urgency.NORMAL, now, wallTime);
  }

  private placeAll(urgency: Urgency, now: number, wallTime: number): void {
    const teams = new Set(this.state.ready.teams(urgency));
    while (this.budget > 0 && teams.size > 0) {
      const team = this.poorest(teams);
      const ready = this.nextJob(urgency, team);
      if (!ready) teams.delete(team);
      else this.placeOne(ready, now, wallTime);
    }
  }

  private poorest(teams: Iterable<string>): string {
    let poorest = '';
    let least = Infinity;
    for (const team of teams) {
      const share = this.state.ledger.share(team);
      if (share >= least) continue;
      poorest = team;
      least = share;
    }
    return poorest;
  }

  private nextJob(urgency: Urgency, team: string): ReadyJob | undefined {
    for (const ready of this.state.ready.jobs(urgency, team)) {
      if (!this.blocked.has(ready.job)) return ready;
    }
    return undefined;
  }

  private placeOne(ready: ReadyJob, now: number, wallTime: number): void {
    const {job} = ready;
    const task = this.describe(ready, now);
    if (!this.state.ledger.allows(task.team, task.size)) {
      return this.block(job, 'the quota of its team is used up');
    }
    if (task.refusals > 0) this.keeper.refused(job, task.size, now);
    const choice = this.choose(job, task, now);
    if (!choice) {
      this.keeper.blocked(job, task.size, now);
      return this.block(job, 'no usable VM has room for its size');
    }
    const index = this.state.ready.take(ready);
    if (index === undefined) return;
    this.budget--;
    this.state.pacer.take();
    this.state.judge.notePlaced(choice.vm.view.vm, now);
    this.state.waitReasons.delete(job.key);
    this.keeper.placed(job, choice.vm);
    this.lifecycle.place(job, index, task.size, choice, now, wallTime);
    this.refresh(choice.vm, now);
  }

  private describe(ready: ReadyJob, now: number): PlacementTask {
    const {job, tasks} = ready;
    const {team, taskKind, size, urgency} = job.specification;
    const {backoff} = this.state;
    const next = taskKey(job, tasks[tasks.length - 1]);
    return {
      job: job.key,
      team,
      taskKind,
      size: this.reservation(team, taskKind, size),
      urgent: urgency === Urgency.URGENT,
      watcher: job.watcher,
      avoid: backoff.avoided(next, now),
      refusals: backoff.refusals(next),
    };
  }

  /** The learned size, unless no VM would ever hold it. */
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
  ): PlacementChoice | undefined {
    const kept = this.keeper.isKeptFor(job);
    const hopeless = this.noRoom.some(size => fitsInto(size, task.size));
    if (hopeless && !kept) return undefined;
    const choice = this.state.placer.choose(task, this.state.vms.vms, now);
    if (!choice && task.avoid.length === 0) this.noRoom.push(task.size);
    return choice;
  }

  private block(job: JobState, reason: string): void {
    this.blocked.add(job);
    this.state.waitReasons.set(job.key, reason);
  }

  private refresh(vm: VmState, now: number): void {
    const {judge, limits, pacer} = this.state;
    const {view} = vm;
    vm.usable =
      now - vm.answeredAt <= limits.vmFreshMillis &&
      !view.draining &&
      !view.stopping &&
      !view.recovering &&
      vm.unconfirmed < pacer.unconfirmedPerVm &&
      !this.state.isOut(view.vm) &&
      judge.admits(view.vm, now);
  }
}

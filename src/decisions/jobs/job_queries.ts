import type {JobKind} from '../job_types.js';
import {JobPhase} from './job_state.js';
import type {JobState} from './job_state.js';
import type {
  JobExplanation,
  JobView,
  SchedulerCounts,
} from './scheduler_types.js';
import type {ShardState} from './shard_state.js';

/** Read-only queries; jobs are shown only as far as the log holds them. */
export class JobQueries {
  constructor(private readonly state: ShardState) {}

  job(team: string, name: string): JobView | undefined {
    const job = this.state.durableRegistry.job(team, name);
    return job && viewOf(job);
  }

  /** Returns the team's jobs, sorted by name. */
  list(
    team: string,
    kind: JobKind,
    options: {after?: string; limit?: number} = {},
  ): JobView[] {
    const {after = '', limit = 100} = options;
    const found: JobState[] = [];
    for (const job of this.state.durableRegistry.jobs.values()) {
      const {specification} = job;
      if (specification.team !== team || specification.kind !== kind) continue;
      if (specification.name > after) found.push(job);
    }
    found.sort((left, right) =>
      left.specification.name < right.specification.name ? -1 : 1,
    );
    return found.slice(0, limit).map(viewOf);
  }

  explain(team: string, name: string): JobExplanation | undefined {
    const job = this.state.durableRegistry.job(team, name);
    if (!job) return undefined;
    const {phase, history} = job;
    return {team, name, phase, summary: this.summary(job), history};
  }

  counts(): SchedulerCounts {
    const {state} = this;
    return {
      jobs: state.registry.jobs.size,
      openAttempts: state.attempts.size,
      waitingTasks: state.ready.size,
      delayedTasks: state.delayed.size,
      queuedRecords: state.records.size,
      vms: state.vms.vms.length,
    };
  }

  /** VMs excluded because tasks fail there that succeed on other VMs. */
  quarantinedVms(now: number): string[] {
    return [...this.state.judge.quarantined(now).keys()];
  }

  /** Returns the scheduler's state for operators, without individual tasks. */
  dump(now: number): object {
    const {state} = this;
    const vms = state.vms.vms.map(vm => ({
      vm: vm.view.vm,
      usable: vm.usable,
      answeredMillisAgo: now - vm.lastHeartbeatAt,
      freeMilliprocessors: vm.freeMilliprocessors,
      freeMemoryMegabytes: vm.freeMemoryMegabytes,
      freeAccelerators: vm.freeAccelerators,
      unconfirmed: vm.unconfirmed,
    }));
    return {
      epoch: state.registry.epoch,
      owner: state.registry.ownerEntryId,
      counts: this.counts(),
      quarantined: Object.fromEntries(state.judge.quarantined(now)),
      heldBackFromVms: state.tailBackoff.dump(now),
      waitReasons: Object.fromEntries(state.waitReasons),
      teams: state.ledger.dump(),
      vms,
    };
  }

  private summary(job: JobState): string {
    switch (job.phase) {
      case JobPhase.WAITING:
      case JobPhase.RUNNING:
        return this.openSummary(job);
      case JobPhase.HELD:
        return (
          `${job.counts.held} tasks are held: each may have run and is not ` +
          'idempotent, so none is run again'
        );
      case JobPhase.FAILED:
        return `${job.counts.failed} tasks failed permanently`;
      case JobPhase.CANCELLING:
        return `cancelled; ${job.counts.open} attempts have not ended yet`;
      case JobPhase.CANCELLED:
        return `cancelled: ${job.cancelReason ?? ''}`;
      case JobPhase.FINISHED:
        return 'all tasks have finished';
    }
  }

  private openSummary(job: JobState): string {
    const {waiting, open, finished, held} = job.counts;
    const counts = `${open} open, ${waiting} waiting, ${finished} finished`;
    const heldPart = held > 0 ? `, ${held} held` : '';
    if (waiting === 0) return counts + heldPart;
    return `${counts}${heldPart}; waits because ${this.waitReason(job)}`;
  }

  private waitReason(job: JobState): string {
    const {ledger, vms, waitReasons} = this.state;
    const {size, team} = job.specification;
    if (vms.vms.length === 0) return 'no VM has sent a heartbeat yet';
    if (!ledger.couldEverAllow(team, size)) {
      return 'its size alone exceeds the quota of its team: it can never run';
    }
    if (!vms.couldEverFit(size)) return this.impossibleReason(job);
    return (
      waitReasons.get(job.key) ??
      'no usable VM has capacity for its size, or its next task is in backoff'
    );
  }

  private impossibleReason(job: JobState): string {
    const {milliprocessors, memoryMegabytes, accelerators} =
      job.specification.size;
    const needs =
      `${milliprocessors} milliprocessors, ${memoryMegabytes} MB and ` +
      `${accelerators} accelerators`;
    return `no VM is as large as ${needs}: it can never run on this fleet`;
  }
}

function viewOf(job: JobState): JobView {
  const {team, name, kind, urgency} = job.specification;
  return {
    team,
    name,
    kind,
    urgency,
    phase: job.phase,
    counts: {...job.counts},
    submittedWallTime: job.submittedWallTime,
    closedWallTime: job.closedWallTime,
    cancelReason: job.cancelReason,
    confirmedBy: job.confirmedBy,
    tasks: job.tasks.map((task, index) => ({
      task: index,
      phase: task.phase,
      attempts: task.attempts,
      failures: task.failures,
      vm: task.vm,
      result: task.result,
      reason: task.reason,
    })),
  };
}

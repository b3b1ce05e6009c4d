import {AttemptOutcome, LogRecordType} from '../job_types.js';
import type {JobSpecification} from '../job_types.js';
import type {AttemptLifecycle} from './attempt_lifecycle.js';
import {JobPhase} from './job_state.js';
import type {JobState} from './job_state.js';
import {ChangeKind, SubmitKind} from './scheduler_types.js';
import type {ChangeResult, SubmitResult} from './scheduler_types.js';
import type {ShardState} from './shard_state.js';

const RETENTION_CHECK_MILLIS = 60_000;

/** Commands of callers and operators on jobs, and removal of old jobs. */
export class JobCommands {
  private nextRetentionCheckAt = 0;

  constructor(
    private readonly state: ShardState,
    private readonly lifecycle: AttemptLifecycle,
  ) {}

  submit(specification: JobSpecification, wallTime: number): SubmitResult {
    const {team, name} = specification;
    const existing = this.state.registry.job(team, name);
    if (existing) {
      const same = isSame(existing.specification, specification);
      const kind = same ? SubmitKind.SAME : SubmitKind.CONFLICT;
      return {kind, job: existing};
    }
    const type = LogRecordType.SUBMITTED;
    this.state.records.append({type, specification, wallTime});
    const job = this.state.registry.job(team, name)!;
    this.state.ready.addAll(job);
    return {kind: SubmitKind.ACCEPTED, job};
  }

  cancel(
    team: string,
    name: string,
    reason: string,
    now: number,
    wallTime: number,
  ): ChangeResult {
    const job = this.state.registry.job(team, name);
    if (!job) return {kind: ChangeKind.NOT_FOUND};
    if (job.cancelled) return {kind: ChangeKind.SAME, job};
    const held = job.phase === JobPhase.HELD;
    if (job.closed && !held) return {kind: ChangeKind.CLOSED, job};
    const type = LogRecordType.CANCELLED;
    this.state.records.append({type, team, job: name, reason, wallTime});
    this.state.ready.drop(job);
    this.state.waitReasons.delete(job.key);
    this.stopAttempts(job, reason, now, wallTime);
    return {kind: ChangeKind.CHANGED, job};
  }

  confirm(
    team: string,
    name: string,
    by: string,
    wallTime: number,
  ): ChangeResult {
    const job = this.state.registry.job(team, name);
    if (!job) return {kind: ChangeKind.NOT_FOUND};
    if (!job.closed) return {kind: ChangeKind.OPEN, job};
    if (job.confirmedBy !== undefined) return {kind: ChangeKind.SAME, job};
    const type = LogRecordType.CONFIRMED;
    this.state.records.append({type, team, job: name, by, wallTime});
    return {kind: ChangeKind.CHANGED, job};
  }

  /** Removes jobs past their retention; held ones stay until confirmed. */
  removeOld(now: number, wallTime: number): void {
    if (now < this.nextRetentionCheckAt) return;
    this.nextRetentionCheckAt = now + RETENTION_CHECK_MILLIS;
    const oldest = wallTime - this.state.limits.retentionMillis;
    for (const job of [...this.state.registry.jobs.values()]) {
      if (!job.closed || job.closedWallTime > oldest) continue;
      const held = job.phase === JobPhase.HELD;
      if (held && job.confirmedBy === undefined) continue;
      const {team, name} = job.specification;
      const type = LogRecordType.REMOVED;
      this.state.records.append({type, team, job: name, wallTime});
    }
  }

  private stopAttempts(
    job: JobState,
    reason: string,
    now: number,
    wallTime: number,
  ): void {
    if (job.counts.open === 0) return;
    const {attempts} = this.state;
    for (const attempt of [...attempts.ofJob(job)]) {
      if (attempt.neverSent) {
        const outcome = AttemptOutcome.REFUSED;
        this.lifecycle.closeAs(attempt, outcome, reason, now, wallTime);
      } else {
        attempts.stop(attempt, reason, false);
      }
    }
  }
}

function isSame(left: JobSpecification, right: JobSpecification): boolean {
  return canonical(left) === canonical(right);
}

/** Serializes the values in a fixed order, for comparison. */
function canonical(specification: JobSpecification): string {
  const {size} = specification;
  return JSON.stringify([
    specification.team,
    specification.name,
    specification.kind,
    specification.urgency,
    specification.taskKind,
    size.milliprocessors,
    size.memoryMegabytes,
    size.accelerators,
    specification.taskCount,
    specification.expectedRunMillis,
    specification.payload,
    specification.idempotent,
    specification.maximumFailures,
  ]);
}

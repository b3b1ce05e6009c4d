import {ResultCodes} from '../../observability/result_codes.js';
import {Urgency} from '../../settings/settings_types.js';
import {NO_RESOURCES} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';
import {AttemptOutcome, LogRecordType, attemptKey} from '../job_types.js';
import type {AttemptName, AttemptReport} from '../job_types.js';
import type {PlacementChoice} from '../placement/placer.js';
import {TaskPhase} from './job_state.js';
import type {JobState} from './job_state.js';
import type {LearnedState} from './learned_state.js';
import {OpenAttempt} from './open_attempts.js';
import {taskKey} from './shard_state.js';
import type {ShardState} from './shard_state.js';

/** Opens and closes attempts and updates all state that depends on them. */
export class AttemptLifecycle {
  constructor(
    private readonly state: ShardState,
    private readonly memory: LearnedState,
  ) {}

  place(
    job: JobState,
    taskIndex: number,
    size: Resources,
    choice: PlacementChoice,
    now: number,
    wallTime: number,
  ): void {
    const task = job.tasks[taskIndex];
    const {team, name: jobName, size: declared} = job.specification;
    const attempt = task.attempts + 1;
    const name: AttemptName = {team, job: jobName, task: taskIndex, attempt};
    const {vm, incarnation} = choice.vm.view;
    this.state.records.append({
      type: LogRecordType.PLACED,
      name,
      vm,
      incarnation,
      ...(size === declared ? {} : {size}),
      reason: choice.reason,
      wallTime,
    });
    this.track(new OpenAttempt(name, job, task, size, now, false));
    choice.vm.place(attemptKey(name), size);
  }

  /** Adds an attempt, placed or inherited by this owner, to the accounting. */
  track(attempt: OpenAttempt): void {
    const {attempts, ledger, spread, vms} = this.state;
    attempts.add(attempt);
    ledger.add(attempt.name.team, attempt.size);
    const view = vms.get(attempt.vm)?.view;
    if (attempt.job.watcher && view) spread.add(attempt.name.team, view);
  }

  /** Applies the report of an attempt's end; a repeated one has no effect. */
  report(
    vm: string,
    report: AttemptReport,
    now: number,
    wallTime: number,
  ): void {
    const attempt = this.state.attempts.get(attemptKey(report.name));
    if (!attempt) return this.resolveHeld(report, wallTime);
    if (attempt.vm === vm) this.close(attempt, report, now, wallTime);
  }

  /** Closes a held task if a late report says how its attempt ended. */
  private resolveHeld(report: AttemptReport, wallTime: number): void {
    const {outcome} = report;
    const certain =
      outcome === AttemptOutcome.FINISHED || outcome === AttemptOutcome.FAILED;
    if (!certain || !this.state.registry.unresolvedTask(report.name)) return;
    this.appendClosed(report, wallTime);
  }

  /** Closes an attempt for which there is no report from the agent. */
  closeAs(
    attempt: OpenAttempt,
    outcome: AttemptOutcome,
    reason: string,
    now: number,
    wallTime: number,
    resultCode = 0,
  ): void {
    const report: AttemptReport = {
      name: attempt.name,
      outcome,
      checkpoint: '',
      result: '',
      reason,
      resultCode,
      ranMillis: 0,
      used: NO_RESOURCES,
    };
    this.close(attempt, report, now, wallTime);
  }

  private close(
    attempt: OpenAttempt,
    report: AttemptReport,
    now: number,
    wallTime: number,
  ): void {
    this.appendClosed(report, wallTime);
    this.untrack(attempt);
    this.learn(attempt, report, now);
    this.continueTask(attempt, report, now);
  }

  private appendClosed(report: AttemptReport, wallTime: number): void {
    const {name, outcome, checkpoint, result, reason, resultCode} = report;
    this.state.records.append({
      type: LogRecordType.CLOSED,
      name,
      outcome,
      checkpoint,
      result,
      reason,
      resultCode,
      wallTime,
    });
  }

  private untrack(attempt: OpenAttempt): void {
    const {attempts, ledger, spread, vms} = this.state;
    attempts.remove(attempt);
    ledger.remove(attempt.name.team, attempt.size);
    const vm = vms.get(attempt.vm);
    vm?.release(attempt.key, attempt.size);
    if (attempt.job.watcher && vm) spread.remove(attempt.name.team, vm.view);
  }

  private learn(
    attempt: OpenAttempt,
    report: AttemptReport,
    now: number,
  ): void {
    const {taskKind, team} = attempt.job.specification;
    const {outcome, resultCode, used, ranMillis} = report;
    const {vm} = attempt;
    this.memory.recordOutcome({vm, taskKind, outcome, resultCode}, now);
    if (outcome === AttemptOutcome.REFUSED) {
      this.recordRefusal(vm, resultCode);
      return;
    }
    if (outcome === AttemptOutcome.LOST) return;
    const finished = outcome === AttemptOutcome.FINISHED;
    this.state.learner.record(team, taskKind, used, ranMillis, finished);
  }

  /** Excludes the VM from placement until its next heartbeat. */
  private recordRefusal(vm: string, resultCode: number): void {
    // A service whose tail latency one kind harms may tolerate other kinds.
    if (resultCode === ResultCodes.TAIL_PROTECTED.number) return;
    const state = this.state.vms.get(vm);
    if (state && resultCode !== 0) state.refused = true;
  }

  private continueTask(
    attempt: OpenAttempt,
    report: AttemptReport,
    now: number,
  ): void {
    const {backoff, delayed, ready} = this.state;
    const {job, task} = attempt;
    const key = taskKey(job, attempt.name.task);
    if (task.phase !== TaskPhase.WAITING) {
      backoff.forget(key);
      return;
    }
    const wait = this.backoffMillis(attempt, report, key, now);
    if (wait === 0) ready.add(job, attempt.name.task);
    else delayed.add(now + wait, {job, task: attempt.name.task});
  }

  private backoffMillis(
    attempt: OpenAttempt,
    report: AttemptReport,
    key: string,
    now: number,
  ): number {
    const {backoff} = this.state;
    const urgent = attempt.job.specification.urgency === Urgency.URGENT;
    switch (report.outcome) {
      case AttemptOutcome.REFUSED:
        return attempt.neverSent ? 0 : backoff.afterRefusal(key, urgent);
      case AttemptOutcome.FAILED:
        return backoff.afterFailure(key, attempt.vm, now);
      case AttemptOutcome.FINISHED:
        return backoff.afterRefusal(key);
      default:
        backoff.recordStart(key);
        return 0;
    }
  }
}

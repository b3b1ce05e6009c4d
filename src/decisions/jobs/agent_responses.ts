import {ResultCodes} from '../../observability/result_codes.js';
import {AttemptOutcome, attemptKey} from '../job_types.js';
import type {AttemptName} from '../job_types.js';
import type {VmView} from '../placement/vm_table.js';
import type {AttemptLifecycle} from './attempt_lifecycle.js';
import type {OpenAttempt} from './open_attempts.js';
import type {QueriedState, StartOutcome} from './scheduler_types.js';
import type {ShardState} from './shard_state.js';

/** Applies the heartbeats and responses of agents to VMs and attempts. */
export class AgentResponses {
  constructor(
    private readonly state: ShardState,
    private readonly lifecycle: AttemptLifecycle,
  ) {}

  applyHeartbeat(view: VmView, now: number, wallTime: number): void {
    const {claims, interference, vms} = this.state;
    const before = vms.get(view.vm)?.view.incarnation;
    const vm = vms.update(view, now);
    const leasedUntil = now + this.state.fleet.taskLeaseMillis;
    vm.leasedUntil = Math.max(vm.leasedUntil, leasedUntil);
    vm.leftToOthers = !claims.shouldClaim(view.vm);
    interference.record(view, now);
    if (before === view.incarnation) return;
    for (const attempt of [...this.state.attempts.onVm(view.vm)]) {
      if (attempt.task.incarnation === view.incarnation) continue;
      this.handleAgentRestart(attempt, now, wallTime);
    }
  }

  applyStartResults(
    vm: string,
    results: readonly StartOutcome[],
    now: number,
    wallTime: number,
  ): void {
    for (const result of results) {
      const attempt = this.state.attempts.get(attemptKey(result.name));
      if (!attempt || attempt.vm !== vm) continue;
      if (result.accepted) this.confirm(attempt);
      else this.refuse(attempt, result, now, wallTime);
    }
  }

  /** Called when the starts are guaranteed not to have left this process. */
  recordStartsNotSent(names: readonly AttemptName[], now: number): void {
    for (const name of names) {
      this.state.attempts.get(attemptKey(name))?.starts.notSent(now);
    }
  }

  applyQueryStates(
    vm: string,
    incarnation: string,
    states: readonly QueriedState[],
    now: number,
    wallTime: number,
  ): void {
    for (const queried of states) {
      const attempt = this.state.attempts.get(attemptKey(queried.name));
      if (!attempt || attempt.vm !== vm) continue;
      if (queried.running) this.confirm(attempt);
      else this.closeFromQuery(attempt, incarnation, queried, now, wallTime);
    }
  }

  private confirm(attempt: OpenAttempt): void {
    const {attempts, backoff, claims, vms} = this.state;
    if (!attempt.confirmed) claims.accepted();
    attempts.confirm(attempt);
    vms.get(attempt.vm)?.confirm(attempt.key);
    backoff.recordStart(`${attempt.job.key}/${attempt.name.task}`);
  }

  /**
   * Closes the attempt if its start was sent exactly once: only then does a
   * refusal prove that it never began. Otherwise an earlier start may have been
   * accepted, so the agent is queried.
   */
  private refuse(
    attempt: OpenAttempt,
    result: StartOutcome,
    now: number,
    wallTime: number,
  ): void {
    const {resultCode, reason} = result;
    if (attempt.confirmed || attempt.queried) return;
    if (resultCode === ResultCodes.OLD_EPOCH.number) return;
    const ended = resultCode === ResultCodes.ATTEMPT_CLOSED.number;
    if (ended || attempt.starts.sends !== 1) {
      this.state.attempts.query(attempt);
      return;
    }
    const full = resultCode === ResultCodes.NO_CAPACITY.number;
    if (full) this.state.claims.refused();
    const outcome = AttemptOutcome.REFUSED;
    this.lifecycle.closeAs(attempt, outcome, reason, now, wallTime, resultCode);
  }

  /** Handles an agent incarnation other than the one that was to start it. */
  private handleAgentRestart(
    attempt: OpenAttempt,
    now: number,
    wallTime: number,
  ): void {
    if (!attempt.neverSent) {
      this.state.attempts.query(attempt);
      return;
    }
    const outcome = AttemptOutcome.REFUSED;
    const reason = 'the agent restarted before the start was sent';
    this.lifecycle.closeAs(attempt, outcome, reason, now, wallTime);
  }

  private closeFromQuery(
    attempt: OpenAttempt,
    incarnation: string,
    queried: QueriedState,
    now: number,
    wallTime: number,
  ): void {
    const {report} = queried;
    if (report && report.outcome !== AttemptOutcome.REFUSED) {
      this.lifecycle.report(attempt.vm, report, now, wallTime);
      return;
    }
    const sameRun = incarnation === attempt.task.incarnation;
    const outcome = sameRun ? AttemptOutcome.REFUSED : AttemptOutcome.LOST;
    const reason = sameRun
      ? 'the agent never started it'
      : 'the agent has restarted and has no record of it';
    this.lifecycle.closeAs(attempt, outcome, reason, now, wallTime);
  }
}

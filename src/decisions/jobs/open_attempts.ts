import type {Resources} from '../../utilities/resources.js';
import {attemptKey} from '../job_types.js';
import type {AttemptName} from '../job_types.js';
import {TaskPhase} from './job_state.js';
import type {JobState, TaskState} from './job_state.js';
import {ResendSchedule} from './resend_schedule.js';

/** State of an open attempt that its shard's owner keeps beside the log. */
export class OpenAttempt {
  readonly key: string;
  /** True if the log holds the placement. */
  durable = false;
  /** True if the agent reported that it accepted or runs the attempt. */
  confirmed = false;
  /** True if the agent has to be queried for the attempt's state. */
  queried = false;
  /** Reason to stop the attempt; undefined while it may continue. */
  stopReason: string | undefined;
  /** True if the attempt has to save a checkpoint when it is stopped. */
  stopWithCheckpoint = false;
  readonly starts = new ResendSchedule();
  readonly stops = new ResendSchedule();
  readonly queries = new ResendSchedule();

  constructor(
    readonly name: AttemptName,
    readonly job: JobState,
    readonly task: TaskState,
    readonly size: Resources,
    /** Not before an earlier owner's last response to the agent. */
    readonly placedAt: number,
    /** True if an earlier owner may have sent the start. */
    readonly inherited: boolean,
  ) {
    this.key = attemptKey(name);
  }

  get vm(): string {
    return this.task.vm;
  }

  /** True if neither this owner nor an earlier one sent a start. */
  get neverSent(): boolean {
    return !this.inherited && this.starts.sends === 0;
  }

  get awaitsStart(): boolean {
    const settled = this.confirmed || this.queried || this.inherited;
    return this.durable && !settled && this.stopReason === undefined;
  }
}

/** Open attempts by name and by VM, and those that may need a message. */
export class OpenAttempts {
  private readonly byKey = new Map<string, OpenAttempt>();
  private readonly byVm = new Map<string, Set<OpenAttempt>>();
  /** Attempts that may need a start, a stop or a query. */
  readonly unsettled = new Set<OpenAttempt>();

  get size(): number {
    return this.byKey.size;
  }

  get(key: string): OpenAttempt | undefined {
    return this.byKey.get(key);
  }

  all(): Iterable<OpenAttempt> {
    return this.byKey.values();
  }

  vms(): Iterable<string> {
    return this.byVm.keys();
  }

  isOn(vm: string): boolean {
    return this.byVm.has(vm);
  }

  *ofJob(job: JobState): Iterable<OpenAttempt> {
    const {team, name} = job.specification;
    for (const [index, {phase, attempts}] of job.tasks.entries()) {
      if (phase !== TaskPhase.OPEN) continue;
      const attempt = {team, job: name, task: index, attempt: attempts};
      const open = this.byKey.get(attemptKey(attempt));
      if (open) yield open;
    }
  }

  onVm(vm: string): Iterable<OpenAttempt> {
    return this.byVm.get(vm) ?? [];
  }

  add(attempt: OpenAttempt): void {
    this.byKey.set(attempt.key, attempt);
    const others = this.byVm.get(attempt.vm);
    if (others) others.add(attempt);
    else this.byVm.set(attempt.vm, new Set([attempt]));
    this.unsettled.add(attempt);
  }

  remove(attempt: OpenAttempt): void {
    this.byKey.delete(attempt.key);
    this.unsettled.delete(attempt);
    const others = this.byVm.get(attempt.vm);
    others?.delete(attempt);
    if (others?.size === 0) this.byVm.delete(attempt.vm);
  }

  confirm(attempt: OpenAttempt): void {
    attempt.confirmed = true;
    attempt.queried = false;
    if (attempt.stopReason === undefined) this.unsettled.delete(attempt);
  }

  query(attempt: OpenAttempt): void {
    attempt.queried = true;
    this.unsettled.add(attempt);
  }

  stop(attempt: OpenAttempt, reason: string, checkpoint: boolean): void {
    attempt.stopReason = reason;
    attempt.stopWithCheckpoint = checkpoint;
    this.unsettled.add(attempt);
  }

  /** Withdraws the stop, as its reason no longer applies. */
  keep(attempt: OpenAttempt): void {
    attempt.stopReason = undefined;
    attempt.stops.reset();
  }
}

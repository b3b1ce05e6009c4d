import {AttemptOutcome, attemptKey} from '../../src/decisions/job_types.js';
import type {
  AttemptName,
  AttemptReport,
} from '../../src/decisions/job_types.js';
import type {
  QueriedState,
  StartOutcome,
} from '../../src/decisions/jobs/scheduler_types.js';
import {report} from './shard_fixture.js';

/** Simulates an agent and its worker as seen by a shard's owner. */
export class FakeAgent {
  incarnation = 1;
  leaseEndsAt = 0;
  /** Refuses all starts, including repeated ones. */
  refusing = false;
  readonly running = new Map<string, AttemptName>();
  readonly unrecorded = new Map<string, AttemptReport>();
  private readonly ended = new Set<string>();

  constructor(
    readonly vm: string,
    private readonly leaseMillis: number,
  ) {}

  /** Called when the owner answered a heartbeat sent at the given time. */
  renewed(sentAt: number): void {
    this.leaseEndsAt = sentAt + this.leaseMillis;
  }

  start(incarnation: string, name: AttemptName, now: number): StartOutcome {
    const key = attemptKey(name);
    const answer = {name, reason: ''};
    if (this.refusing) return {...answer, accepted: false, resultCode: 305};
    if (this.running.has(key))
      return {...answer, accepted: true, resultCode: 0};
    const refused = {...answer, accepted: false};
    if (incarnation !== String(this.incarnation)) {
      return {...refused, resultCode: 303};
    }
    if (this.ended.has(key)) return {...refused, resultCode: 309};
    if (now >= this.leaseEndsAt) return {...refused, resultCode: 315};
    this.running.set(key, name);
    return {...answer, accepted: true, resultCode: 0};
  }

  end(key: string, outcome: AttemptOutcome): void {
    const name = this.running.get(key);
    if (!name) return;
    this.running.delete(key);
    this.ended.add(key);
    this.unrecorded.set(key, report(name, outcome));
  }

  /** Ends all running attempts once the lease has expired. */
  lapse(now: number): void {
    if (now < this.leaseEndsAt) return;
    for (const key of [...this.running.keys()]) {
      this.end(key, AttemptOutcome.LOST);
    }
  }

  query(name: AttemptName): QueriedState {
    const key = attemptKey(name);
    const running = this.running.has(key);
    if (!running) this.ended.add(key);
    return {name, running, report: this.unrecorded.get(key)};
  }

  /** Replaces the VM: all state of the agent is lost. */
  replace(): void {
    this.incarnation++;
    this.running.clear();
    this.unrecorded.clear();
    this.ended.clear();
  }
}

import type {
  AttemptName,
  AttemptReport,
  LogRecord,
} from '../../src/decisions/job_types.js';
import {attemptKey, jobKey} from '../../src/decisions/job_types.js';
import {encodeRecords} from '../../src/decisions/jobs/record_codec.js';
import {
  readSnapshot,
  writeSnapshot,
} from '../../src/decisions/jobs/snapshot.js';
import type {ShardScheduler} from '../../src/decisions/jobs/shard_scheduler.js';
import type {StartsForVm} from '../../src/decisions/jobs/scheduler_types.js';
import type {VirtualClock} from '../../src/utilities/virtual_clock.js';
import type {BatchMetrics} from './batch_metrics.js';
import type {TracedJob} from './batch_trace.js';
import type {SimulatedVm} from './simulated_vm.js';

const DECISION_MILLIS = 50;
const APPEND_MILLIS = 8;
const LINK_MILLIS = 1.5;
/** As the product's default: leases are renewed so long without the store. */
const OUTAGE_GRACE_MILLIS = 90_000;
const SNAPSHOT_AFTER_APPENDS = 128;

/** The loop of one shard: decides, appends, and talks to the agents. */
export class SimulatedEntry {
  private storeBackAt = 0;
  private outageFrom = Infinity;
  private frozenUntil = 0;
  private appending = false;
  private killed = false;
  /** Another entry has written to the log: the next append fails. */
  private deposed = false;
  private snapshot = '';
  /** The records after the snapshot. */
  private log: LogRecord[] = [];
  private appends = 0;
  private readonly jobs = new Map<string, TracedJob>();
  private readonly started = new Set<string>();

  constructor(
    readonly shard: number,
    readonly scheduler: ShardScheduler,
    readonly epoch: number,
    private readonly clock: VirtualClock,
    private readonly vms: ReadonlyMap<string, SimulatedVm>,
    private readonly metrics: BatchMetrics,
  ) {
    const now = clock.now();
    scheduler.beginOwnership(`entry${epoch}`, epoch, now, now);
  }

  begin(): void {
    this.clock.schedule(this.shard, () => this.loop());
  }

  /** Ends the process: what the log doesn't hold is gone. */
  kill(): void {
    this.killed = true;
  }

  /** Pauses the process; it goes on with what it held in memory. */
  freeze(millis: number): void {
    this.frozenUntil = this.clock.now() + millis;
  }

  loseStore(millis: number): void {
    this.outageFrom = this.clock.now();
    this.storeBackAt = this.outageFrom + millis;
  }

  /** Whether the grace without the store is over. */
  get outlastedByOutage(): boolean {
    return this.clock.now() - this.outageFrom >= OUTAGE_GRACE_MILLIS;
  }

  /** Empty when none was saved yet. */
  get lastSnapshot(): string {
    return this.snapshot;
  }

  /** Writes its snapshot anew, without what was learned. */
  forgetLearned(): void {
    if (this.snapshot === '') return;
    this.snapshot = writeSnapshot(readSnapshot(this.snapshot).book);
  }

  /** Brings a scheduler with the last snapshot to where the log ends. */
  replayTo(scheduler: ShardScheduler): void {
    for (const record of this.log) scheduler.replay(record);
  }

  /** Goes on with an earlier owner's log; callers submit their jobs again. */
  inherit(earlier: SimulatedEntry): void {
    earlier.deposed = true;
    this.snapshot = earlier.snapshot;
    this.log = [...earlier.log];
    for (const task of earlier.started) this.started.add(task);
    for (const job of earlier.jobs.values()) this.submit(job);
  }

  submit(job: TracedJob): void {
    const {specification} = job;
    const key = jobKey(specification.team, specification.name);
    this.jobs.set(key, job);
    if (!this.isUp) return;
    const now = this.clock.now();
    this.scheduler.submit(specification, now, now);
  }

  heartbeat(vm: SimulatedVm): void {
    if (!this.isUp) return;
    const now = this.clock.now();
    if (this.outlastedByOutage) return;
    vm.renewLeases(this.shard, this.epoch);
    this.scheduler.applyHeartbeat(vm.view(), now, now);
  }

  /** Takes reports in; returns those that the log holds. */
  report(vm: string, reports: readonly AttemptReport[]): AttemptName[] {
    if (!this.isUp) return [];
    const now = this.clock.now();
    this.scheduler.applyReports(vm, reports, now, now);
    return this.scheduler.recordedReports(reports.map(({name}) => name));
  }

  private get isUp(): boolean {
    return !this.killed && this.clock.now() >= this.frozenUntil;
  }

  private loop(): void {
    if (this.killed) return;
    const now = this.clock.now();
    if (now < this.frozenUntil) {
      this.clock.schedule(this.frozenUntil - now, () => this.loop());
      return;
    }
    if (now >= this.storeBackAt) this.outageFrom = Infinity;
    this.scheduler.decide(now, now);
    this.append();
    this.send(now);
    this.clock.schedule(DECISION_MILLIS, () => this.loop());
  }

  private append(): void {
    if (this.appending || !this.scheduler.hasRecords) return;
    this.appending = true;
    const records = this.scheduler.takeRecords();
    const delay = Math.max(APPEND_MILLIS, this.storeBackAt - this.clock.now());
    this.clock.schedule(delay, () => this.appended(records));
  }

  private appended(records: readonly LogRecord[]): void {
    if (this.killed) return;
    const frozenFor = this.frozenUntil - this.clock.now();
    if (frozenFor > 0) {
      this.clock.schedule(frozenFor, () => this.appended(records));
      return;
    }
    this.appending = false;
    if (this.deposed) return this.kill();
    this.log.push(...records);
    this.metrics.logBytes += JSON.stringify(encodeRecords(records)).length;
    this.scheduler.acknowledge();
    if (++this.appends % SNAPSHOT_AFTER_APPENDS === 0) this.saveSnapshot();
    this.send(this.clock.now());
    this.append();
  }

  private saveSnapshot(): void {
    this.snapshot = this.scheduler.snapshot();
    this.log = [];
  }

  private send(now: number): void {
    for (const starts of this.scheduler.startsDue(now)) this.sendStarts(starts);
    for (const {vm, stops} of this.scheduler.stopsDue(now)) {
      const target = this.vms.get(vm);
      if (!target?.alive) continue;
      this.clock.schedule(LINK_MILLIS, () => {
        for (const {name, checkpoint} of stops) target.stop(name, checkpoint);
      });
    }
    for (const {vm, names} of this.scheduler.queriesDue(now)) {
      this.clock.schedule(2 * LINK_MILLIS, () => this.query(vm, names));
    }
  }

  private sendStarts({vm, incarnation, starts}: StartsForVm): void {
    const target = this.vms.get(vm);
    this.clock.schedule(LINK_MILLIS, () => {
      if (!target?.alive || incarnation !== String(target.incarnation)) return;
      const results = starts.map(order => {
        const job = this.jobs.get(jobKey(order.name.team, order.name.job))!;
        const outcome = target.start(this, order, job);
        if (outcome.accepted) this.noteBegin(order.name, job);
        else this.metrics.refusedStarts++;
        return outcome;
      });
      this.clock.schedule(LINK_MILLIS, () => {
        const now = this.clock.now();
        this.scheduler.applyStartResults(vm, results, now, now);
      });
    });
  }

  private query(vm: string, names: readonly AttemptName[]): void {
    const target = this.vms.get(vm);
    if (!target?.alive) return;
    const now = this.clock.now();
    const states = names.map(name => {
      const report = target.unrecorded.get(attemptKey(name))?.report;
      return {name, running: target.runs(name), report};
    });
    const incarnation = String(target.incarnation);
    this.scheduler.applyQueryStates(vm, incarnation, states, now, now);
  }

  private noteBegin(name: AttemptName, job: TracedJob): void {
    const task = `${name.team}/${name.job}/${name.task}`;
    if (this.started.has(task)) return;
    this.started.add(task);
    const wait = this.clock.now() - job.arrivesAt;
    const urgent = job.specification.urgency === 'urgent';
    const waits = urgent ? this.metrics.urgentWaits : this.metrics.normalWaits;
    waits.push(wait);
  }
}

import {ShardScheduler} from '../../src/decisions/jobs/shard_scheduler.js';
import type {
  ShardLimits,
  ShardPolicies,
} from '../../src/decisions/jobs/shard_state.js';
import {DEFAULT_SHARD_LIMITS} from '../../src/decisions/jobs/shard_state.js';
import {ClaimAll} from '../../src/decisions/placement/capacity_claims.js';
import {StartRateLimiter} from '../../src/decisions/recovery/start_rate_limiter.js';
import {NoQuarantinePolicy} from '../../src/decisions/recovery/worker_quarantine.js';
import type {FleetSettings} from '../../src/settings/settings_types.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {DeclaredSizes, FirstFitPlacer} from './baseline_policies.js';
import {BatchMetrics} from './batch_metrics.js';
import type {TracedJob} from './batch_trace.js';
import {SimulatedEntry} from './simulated_entry.js';
import {SimulatedVm, TASK_LEASE_MILLIS} from './simulated_vm.js';
import type {SimulatedVmOptions} from './simulated_vm_options.js';

const HEARTBEAT_MILLIS = 1000;
const REPORT_MILLIS = 50;
const OUT_DELAY_MILLIS = 2000;
/** A take-over counts losses only after the grace of an earlier owner. */
const EARLIER_OWNER_GRACE_MILLIS = 90_000;
const RECLAIM_MILLIS = 1000;

export interface PolicySet {
  readonly name: string;
  policies(shard: number): Partial<ShardPolicies>;
  readonly limits: Partial<ShardLimits>;
  /** Whether a new owner knows what an earlier one learned. */
  readonly remembers: boolean;
}

export const PRODUCT: PolicySet = {
  name: 'product',
  policies: () => ({}),
  limits: {},
  remembers: true,
};

/** First fit without learning, no quarantine, static limits. */
export const BASELINE: PolicySet = {
  name: 'first fit',
  policies: () => ({
    placer: new FirstFitPlacer(),
    learner: new DeclaredSizes(),
    claims: new ClaimAll(),
    judge: new NoQuarantinePolicy(),
    pacer: new StartRateLimiter({
      startsPerSecond: 1e6,
      burst: 1e6,
      unconfirmedPerVm: 64,
    }),
  }),
  limits: {urgentEvictionDelayMillis: Infinity},
  remembers: true,
};

export interface SimulationOptions {
  readonly vms: readonly SimulatedVmOptions[];
  readonly shards: number;
  readonly durationMillis: number;
  readonly jobs: readonly TracedJob[];
  readonly policySet: PolicySet;
  readonly seed: number;
  /** What goes wrong, and when. */
  readonly faults?: ReadonlyArray<{
    readonly at: number;
    run(simulation: BatchSimulation): void;
  }>;
}

/** Entries, agents and workers under virtual time: same seed, same figures. */
export class BatchSimulation {
  readonly clock = new VirtualClock();
  readonly metrics = new BatchMetrics();
  readonly vms = new Map<string, SimulatedVm>();
  readonly entries: SimulatedEntry[] = [];
  /** Were replaced; one that was paused doesn't know that yet. */
  private readonly formerEntries: SimulatedEntry[] = [];
  private fleet: FleetSettings = {
    failureDomainsOut: new Set(),
    drainedVms: new Set(),
    taskLeaseMillis: TASK_LEASE_MILLIS,
    maximumSettingsAgeMillis: 4000,
    heartbeatMillis: HEARTBEAT_MILLIS,
    retryBudgetShare: 0.1,
    maximumEjectedShare: 0.3,
  };

  constructor(private readonly options: SimulationOptions) {
    for (const vm of options.vms) {
      this.vms.set(vm.vm, new SimulatedVm(vm, this.clock, this.metrics));
    }
    for (let shard = 0; shard < options.shards; shard++) this.addEntry(shard);
  }

  run(): BatchMetrics {
    const {clock, options} = this;
    let index = 0;
    for (const vm of this.vms.values()) {
      const offset = (index++ * HEARTBEAT_MILLIS) / this.vms.size;
      clock.schedule(offset, () => this.heartbeat(vm));
      clock.schedule(offset, () => this.report(vm));
    }
    for (const entry of this.entries) entry.begin();
    for (const job of options.jobs) {
      clock.schedule(job.arrivesAt, () => this.entryOf(job).submit(job));
    }
    for (const fault of options.faults ?? []) {
      clock.schedule(fault.at, () => fault.run(this));
    }
    clock.schedule(HEARTBEAT_MILLIS, () => this.sample());
    clock.runUntil(options.durationMillis);
    for (const job of options.jobs) this.countFailed(job);
    return this.metrics;
  }

  /** Operators take failure domains out; none brings all back. */
  setOut(...failureDomains: string[]): void {
    this.fleet = {...this.fleet, failureDomainsOut: new Set(failureDomains)};
    for (const {scheduler} of this.entries) scheduler.setFleet(this.fleet);
    this.clock.schedule(OUT_DELAY_MILLIS, () => {
      for (const vm of this.vms.values()) {
        vm.out = failureDomains.includes(vm.options.failureDomain);
      }
    });
  }

  cancelWave(share: number): void {
    const now = this.clock.now();
    for (const [index, job] of this.options.jobs.entries()) {
      if (job.arrivesAt > now || index % 100 >= share * 100) continue;
      const {team, name} = job.specification;
      this.entryOf(job).scheduler.cancel(team, name, 'wave', now, now);
    }
  }

  private countFailed(job: TracedJob): void {
    const {team, name} = job.specification;
    const view = this.entryOf(job).scheduler.job(team, name);
    this.metrics.failedTasks += view?.counts.failed ?? 0;
  }

  /** An entry dies; another takes its shard over after the delay. */
  killEntry(shard: number, takeOverMillis: number): void {
    this.entries[shard].kill();
    this.clock.schedule(takeOverMillis, () => this.takeOver(shard));
  }

  /** An entry is paused past its lease on the store, and then goes on. */
  freezeEntry(shard: number, frozenMillis: number, takeOverMillis: number) {
    this.entries[shard].freeze(frozenMillis);
    this.clock.schedule(takeOverMillis, () => this.takeOver(shard));
  }

  /** Entries that the outage outlasts drop their shard and claim it after. */
  loseStore(millis: number): void {
    for (const entry of this.entries) entry.loseStore(millis);
    this.clock.schedule(millis, () => {
      for (const [shard, entry] of this.entries.entries()) {
        if (!entry.outlastedByOutage) continue;
        entry.kill();
        this.clock.schedule(RECLAIM_MILLIS, () => this.takeOver(shard));
      }
    });
  }

  private takeOver(shard: number): void {
    const earlier = this.entries[shard];
    if (!this.options.policySet.remembers) earlier.forgetLearned();
    const scheduler = this.newScheduler(shard, earlier.lastSnapshot);
    earlier.replayTo(scheduler);
    const entry = this.newEntry(shard, scheduler, earlier.epoch + 1);
    entry.inherit(earlier);
    this.formerEntries.push(earlier);
    this.entries[shard] = entry;
    entry.begin();
  }

  private addEntry(shard: number): void {
    this.entries.push(this.newEntry(shard, this.newScheduler(shard), 1));
  }

  private newEntry(
    shard: number,
    scheduler: ShardScheduler,
    epoch: number,
  ): SimulatedEntry {
    const {clock, vms, metrics} = this;
    return new SimulatedEntry(shard, scheduler, epoch, clock, vms, metrics);
  }

  private newScheduler(shard: number, snapshot = ''): ShardScheduler {
    const {policySet, seed} = this.options;
    const options = {
      shard,
      shards: this.options.shards,
      random: new Random(seed + shard),
      limits: {
        ...DEFAULT_SHARD_LIMITS,
        earlierOwnerGraceMillis: EARLIER_OWNER_GRACE_MILLIS,
        ...policySet.limits,
      },
      policies: policySet.policies(shard),
    };
    const scheduler =
      snapshot === ''
        ? new ShardScheduler(options)
        : ShardScheduler.restore(snapshot, options);
    scheduler.setFleet(this.fleet);
    return scheduler;
  }

  private entryOf(job: TracedJob): SimulatedEntry {
    const team = Number(job.specification.team.replace(/\D/g, ''));
    return this.entries[team % this.entries.length];
  }

  private heartbeat(vm: SimulatedVm): void {
    this.clock.schedule(HEARTBEAT_MILLIS, () => this.heartbeat(vm));
    if (!vm.alive) return;
    for (const entry of this.entries) entry.heartbeat(vm);
    for (const entry of this.formerEntries) entry.heartbeat(vm);
  }

  private report(vm: SimulatedVm): void {
    this.clock.schedule(REPORT_MILLIS, () => this.report(vm));
    if (!vm.alive || vm.unrecorded.size === 0) return;
    for (const entry of this.entries) {
      const reports = [...vm.unrecorded.values()]
        .filter(({shard}) => shard === entry.shard)
        .map(({report}) => report);
      if (reports.length === 0) continue;
      for (const name of entry.report(vm.options.vm, reports)) {
        vm.forget(name);
      }
    }
  }

  private sample(): void {
    this.clock.schedule(HEARTBEAT_MILLIS, () => this.sample());
    let work = 0;
    for (const vm of this.vms.values()) {
      vm.sample();
      work += vm.doneWork;
    }
    this.metrics.workBySecond.push(work);
  }
}

import type {FleetSettings} from '../../settings/settings_types.js';
import type {Random} from '../../utilities/random.js';
import {BestFitPlacer} from '../placement/best_fit_placer.js';
import {InterferenceTable} from '../placement/interference_table.js';
import type {Placer} from '../placement/placer.js';
import {ReadyQueue} from '../placement/ready_queue.js';
import {PeakSizeLearner} from '../placement/size_learner.js';
import type {SizeLearner} from '../placement/size_learner.js';
import {AdaptiveClaims} from '../placement/capacity_claims.js';
import type {CapacityClaims} from '../placement/capacity_claims.js';
import {Spread} from '../placement/spread.js';
import {TeamLedger} from '../placement/team_ledger.js';
import {VmTable} from '../placement/vm_table.js';
import {StartRateLimiter} from '../recovery/start_rate_limiter.js';
import {TailBackoff} from '../recovery/tail_backoff.js';
import {TaskBackoff} from '../recovery/task_backoff.js';
import {WorkerQuarantine} from '../recovery/worker_quarantine.js';
import type {QuarantinePolicy} from '../recovery/worker_quarantine.js';
import {KeyHeap} from './key_heap.js';
import type {JobRegistry} from './job_registry.js';
import type {JobState} from './job_state.js';
import {OpenAttempts} from './open_attempts.js';
import {RecordQueue} from './record_queue.js';

export interface ShardLimits {
  /** Added to the lease before an attempt on a silent VM counts as lost. */
  readonly lossMarginMillis: number;
  /**
   * How long an earlier owner may have renewed task leases after it lost its
   * own lease on the store.
   */
  readonly earlierOwnerGraceMillis: number;
  /** Nothing is placed on a VM whose last heartbeat is older than this. */
  readonly vmFreshMillis: number;
  /** A silent VM without attempts is removed after this time. */
  readonly vmRemovalMillis: number;
  /** Jobs that have ended are removed after this time. */
  readonly retentionMillis: number;
  /** Nothing more is placed while more records than this wait for the log. */
  readonly maximumQueuedRecords: number;
  /** Maximum number of tasks placed in one decision. */
  readonly placementsPerDecision: number;
  /** Maximum rate at which attempts are moved off drained VMs. */
  readonly evacuationsPerSecond: number;
  /** How long an urgent task waits before other attempts are evicted for it. */
  readonly urgentEvictionDelayMillis: number;
}

export const DEFAULT_SHARD_LIMITS: ShardLimits = {
  lossMarginMillis: 2000,
  earlierOwnerGraceMillis: 0,
  vmFreshMillis: 3500,
  vmRemovalMillis: 10 * 60 * 1000,
  retentionMillis: 24 * 60 * 60 * 1000,
  maximumQueuedRecords: 8000,
  placementsPerDecision: 256,
  evacuationsPerSecond: 50,
  urgentEvictionDelayMillis: 150,
};

/** Replaceable policies. */
export interface ShardPolicies {
  readonly placer: Placer;
  readonly learner: SizeLearner;
  readonly judge: QuarantinePolicy;
  readonly pacer: StartRateLimiter;
  readonly claims: CapacityClaims;
}

export interface ShardSchedulerOptions {
  readonly shard: number;
  /** Total number of shards, all of which share the VMs. */
  readonly shards?: number;
  readonly random: Random;
  readonly limits?: Partial<ShardLimits>;
  readonly policies?: Partial<ShardPolicies>;
  /** Wall time at which the monotonic clock of `now` was zero. */
  readonly wallTimeOffsetMillis?: number;
}

export interface DelayedTask {
  readonly job: JobState;
  readonly task: number;
}

const DEFAULT_FLEET: FleetSettings = {
  failureDomainsOut: new Set(),
  drainedVms: new Set(),
  taskLeaseMillis: 10_000,
  maximumSettingsAgeMillis: 4000,
  heartbeatMillis: 1000,
  retryBudgetShare: 0.1,
  maximumEjectedShare: 0.3,
};

/** State shared by the components of one shard's scheduler. */
export class ShardState {
  readonly limits: ShardLimits;
  readonly wallTimeOffsetMillis: number;
  readonly records: RecordQueue;
  readonly attempts = new OpenAttempts();
  readonly vms = new VmTable();
  readonly ready = new ReadyQueue();
  /** Tasks in backoff, by the time at which they are ready again. */
  readonly delayed = new KeyHeap<DelayedTask>();
  readonly ledger = new TeamLedger();
  readonly spread = new Spread();
  readonly interference = new InterferenceTable();
  readonly claims: CapacityClaims;
  readonly backoff: TaskBackoff;
  readonly tailBackoff = new TailBackoff();
  readonly placer: Placer;
  readonly learner: SizeLearner;
  readonly judge: QuarantinePolicy;
  readonly pacer: StartRateLimiter;
  /** By job: why the last decision did not place its next task. */
  readonly waitReasons = new Map<string, string>();
  fleet: FleetSettings = DEFAULT_FLEET;

  constructor(
    /** Jobs as of all decisions, including queued ones. */
    readonly registry: JobRegistry,
    /** Jobs as of the records that the log holds. */
    readonly durableRegistry: JobRegistry,
    options: ShardSchedulerOptions,
  ) {
    const {shard, shards = 1, random, policies = {}} = options;
    this.wallTimeOffsetMillis = options.wallTimeOffsetMillis ?? 0;
    this.limits = {...DEFAULT_SHARD_LIMITS, ...options.limits};
    this.records = new RecordQueue(registry, durableRegistry);
    this.claims = policies.claims ?? new AdaptiveClaims(random, shard, shards);
    this.backoff = new TaskBackoff(random);
    this.learner = policies.learner ?? new PeakSizeLearner();
    this.judge = policies.judge ?? new WorkerQuarantine();
    this.pacer = policies.pacer ?? new StartRateLimiter();
    this.placer =
      policies.placer ??
      new BestFitPlacer({
        shard,
        interference: this.interference,
        spread: this.spread,
      });
  }

  /** True if operators drained the VM or took its failure domain out. */
  isOut(vm: string): boolean {
    const view = this.vms.get(vm)?.view;
    if (this.fleet.drainedVms.has(vm)) return true;
    return view ? this.fleet.failureDomainsOut.has(view.failureDomain) : false;
  }
}

/** Returns the key of a task for the backoff, shared by its attempts. */
export function taskKey(job: JobState, task: number): string {
  return `${job.key}/${task}`;
}

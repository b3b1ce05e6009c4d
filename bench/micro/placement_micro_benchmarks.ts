import {ShardScheduler} from '../../src/decisions/jobs/shard_scheduler.js';
import {JobKind} from '../../src/decisions/job_types.js';
import type {
  AttemptName,
  JobSpecification,
} from '../../src/decisions/job_types.js';
import {StartRateLimiter} from '../../src/decisions/recovery/start_rate_limiter.js';
import {Random} from '../../src/utilities/random.js';
import {NO_RESOURCES} from '../../src/utilities/resources.js';
import type {Resources} from '../../src/utilities/resources.js';
import type {MicroBenchmark} from '../scenario.js';

const TARGET_MICROS = 200;
const VMS = 600;
const RUNNING_TASKS = 14_000;
const QUEUED_JOBS = 300;
const TEAMS = 400;
const TASKS_PER_JOB = 50;
const STARTS_PER_SECOND = 420;

export const placementMicroBenchmarks: readonly MicroBenchmark[] = [
  {
    name: 'placement-decision',
    description:
      'a task ends and another is placed: 600 VMs, 14,000 running tasks, ' +
      '300 queued jobs of 400 teams, all in one shard',
    targetMicros: TARGET_MICROS,
    prepare(seed) {
      const shard = new FullShard(seed);
      return () => shard.replaceOne();
    },
  },
];

const SIZE = {milliprocessors: 1000, memoryMegabytes: 4000, accelerators: 0};

/** One shard that holds the whole target fleet, with a full queue. */
class FullShard {
  private readonly scheduler: ShardScheduler;
  private readonly running: Array<{vm: string; name: AttemptName}> = [];
  private readonly committed = new Map<string, number>();
  private now = 0;
  private turn = 0;

  constructor(seed: number) {
    const pacer = new StartRateLimiter({
      startsPerSecond: 1e9,
      burst: 1e9,
      unconfirmedPerVm: 1e9,
    });
    this.scheduler = new ShardScheduler({
      shard: 0,
      random: new Random(seed),
      limits: {placementsPerDecision: 1e9, maximumQueuedRecords: 1e9},
      policies: {pacer},
    });
    this.scheduler.beginOwnership('entry', 1, 0, 0);
    for (let index = 0; index < VMS; index++) this.heartbeat(index);
    this.submit(RUNNING_TASKS / TASKS_PER_JOB, 'running');
    this.step();
    this.submit(QUEUED_JOBS, 'queued');
    this.step();
  }

  /** One attempt ends; the room goes to the next task in line. */
  replaceOne(): void {
    this.now += 1000 / STARTS_PER_SECOND;
    this.heartbeat(this.turn % VMS);
    const index = this.turn++ % this.running.length;
    const {vm, name} = this.running[index];
    const report = {
      name,
      outcome: 'finished' as const,
      checkpoint: '',
      result: '',
      reason: '',
      resultCode: 0,
      ranMillis: 1000,
      used: NO_RESOURCES,
    };
    this.count(vm, -1);
    this.scheduler.applyReports(vm, [report], this.now, this.now);
    this.running[index] = this.running[this.running.length - 1];
    this.running.pop();
    this.step();
  }

  private step(): void {
    this.scheduler.decide(this.now, this.now);
    while (this.scheduler.hasRecords) {
      this.scheduler.takeRecords();
      this.scheduler.acknowledge();
    }
    for (const {vm, starts} of this.scheduler.startsDue(this.now)) {
      const results = starts.map(({name}) => {
        this.running.push({vm, name});
        this.count(vm, 1);
        return {name, accepted: true, resultCode: 0, reason: ''};
      });
      this.scheduler.applyStartResults(vm, results, this.now, this.now);
    }
  }

  private count(vm: string, difference: number): void {
    this.committed.set(vm, (this.committed.get(vm) ?? 0) + difference);
  }

  /** Tasks that wait; the bench means a full queue. */
  get waiting(): number {
    return this.scheduler.counts().waitingTasks;
  }

  private submit(jobs: number, prefix: string): void {
    for (let index = 0; index < jobs; index++) {
      this.scheduler.submit(specificationOf(prefix, index), 0, 0);
    }
  }

  private heartbeat(index: number): void {
    const view = {
      vm: `vm${index}`,
      incarnation: '1',
      failureDomain: `domain${index % 6}`,
      region: `region${index % 2}`,
      rack: `rack${index % 40}`,
      capacity: {
        milliprocessors: 24_000,
        memoryMegabytes: 96_000,
        accelerators: index % 2,
      },
      committed: scaled(SIZE, this.committed.get(`vm${index}`) ?? 0),
      used: NO_RESOURCES,
      draining: false,
      stopping: false,
      recovering: false,
      runningAttempts: 0,
      services: [{service: 'orders', tailMillis: 20, targetMillis: 40}],
      interference: [],
    };
    this.scheduler.applyHeartbeat(view, this.now, this.now);
  }
}

function scaled(size: Resources, count: number): Resources {
  return {
    milliprocessors: size.milliprocessors * count,
    memoryMegabytes: size.memoryMegabytes * count,
    accelerators: size.accelerators * count,
  };
}

function specificationOf(prefix: string, index: number): JobSpecification {
  return {
    team: `team${index % TEAMS}`,
    name: `${prefix}${index}`,
    kind: JobKind.BATCH,
    urgency: 'normal',
    taskKind: `kind${index % 20}`,
    size: SIZE,
    taskCount: TASKS_PER_JOB,
    expectedRunMillis: 20_000,
    payload: '',
    idempotent: true,
    maximumFailures: 3,
  };
}

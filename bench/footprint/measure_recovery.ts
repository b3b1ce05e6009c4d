import {randomUUID} from 'node:crypto';
import {ShardScheduler} from '../../src/decisions/jobs/shard_scheduler.js';
import type {StartOutcome} from '../../src/decisions/jobs/scheduler_types.js';
import {JobKind} from '../../src/decisions/job_types.js';
import type {
  AttemptName,
  AttemptReport,
} from '../../src/decisions/job_types.js';
import {ShardLog} from '../../src/entry/shards/shard_log.js';
import {ConfirmingStore} from '../../src/backends/confirming_store.js';
import {Urgency} from '../../src/settings/settings_types.js';
import {SystemClock} from '../../src/utilities/clock.js';
import {Random} from '../../src/utilities/random.js';
import {MemoryStore} from '../../tests/stand_ins/memory_store.js';

/**
 * Usage: npm run measure:recovery [-- --json]. Fills one shard with
 * running tasks, and closed jobs in some rows, keeps it as a snapshot with a log after it, and reads it back
 * as a new owner does. The store is in this process and answers at once.
 */
const TASK_COUNTS = [875, 3_500, 14_000];
const TASKS_A_JOB = 35;
/** A twelfth of the tasks at the target, with a day's closed jobs beside them. */
const TASKS_BESIDE_CLOSED_JOBS = 1_167;
const CLOSED_JOB_COUNTS = [0, 317, 3_800];
const TASKS_A_CLOSED_JOB = 5;
const CLOSED_TASK_RUN_MILLIS = 60_000;
const VMS = 600;
const ROUND_MILLIS = 500;
const MAXIMUM_ROUNDS = 1_000;
const APPEND_DEADLINE_MILLIS = 5_000;
const VALUE_LIMIT_CHARACTERS = 1_000_000;
const SHARD = 0;

/** The life of one shard from its first job to its recovery. */
class ShardRecovery {
  private readonly clock = new SystemClock();
  private readonly random = new Random(1);
  private readonly store = new MemoryStore({clock: this.clock});
  private readonly log = this.openLog();
  private readonly scheduler = new ShardScheduler({
    shard: SHARD,
    random: this.random,
  });
  private readonly incarnations = Array.from({length: VMS}, () => randomUUID());
  private now = 0;

  constructor(
    private readonly tasks: number,
    private readonly closedJobs = 0,
  ) {}

  async measure(): Promise<object> {
    await this.log.read();
    this.scheduler.beginOwnership('entry-1', 1, this.now, this.now);
    await this.commit();
    await this.closeJobs();
    this.submitJobs();
    const placed = await this.placeAll();
    const text = this.scheduler.snapshot();
    const savedFrom = process.cpuUsage();
    await this.log.saveSnapshot(text);
    const saved = process.cpuUsage(savedFrom);
    const keptCharacters = await this.keptCharacters();
    const appends = await this.appendUntilSnapshotIsDue();
    return {
      tasks: this.tasks,
      closedJobs: this.closedJobs,
      placed,
      snapshotCharacters: text.length,
      charactersATask: Math.round(text.length / this.tasks),
      keptCharacters,
      shareOfValueLimit: round(keptCharacters / VALUE_LIMIT_CHARACTERS),
      saveProcessorMillis: round((saved.user + saved.system) / 1_000),
      appends,
      ...(await this.recover()),
    };
  }

  /** Of the snapshot's parts, as they are in the store. */
  private async keptCharacters(): Promise<number> {
    const {values} = await this.store.list(`jobs/${SHARD}/snapshot/parts/`);
    return values.reduce((total, {value}) => total + value.length, 0);
  }

  private openLog(): ShardLog {
    const {store, clock, random} = this;
    const settling = new ConfirmingStore({store, clock, random});
    return new ShardLog(SHARD, store, settling);
  }

  private submitJobs(): void {
    const jobs = Math.ceil(this.tasks / TASKS_A_JOB);
    for (let number = 0; number < jobs; number++) this.submit(`job-${number}`);
  }

  /** Runs the jobs that stay in the shard for a day after their end. */
  private async closeJobs(): Promise<void> {
    for (let number = 0; number < this.closedJobs; number++) {
      this.submit(`closed-${number}`, TASKS_A_CLOSED_JOB);
    }
    const wanted = this.closedJobs * TASKS_A_CLOSED_JOB;
    let ended = 0;
    for (let round = 0; round < MAXIMUM_ROUNDS && ended < wanted; round++) {
      ended += await this.startAndEnd();
      this.now += ROUND_MILLIS;
    }
    if (ended < wanted) throw new Error(`${ended} of ${wanted} tasks ended`);
  }

  /** Resolves to the number of tasks that it started and ended. */
  private async startAndEnd(): Promise<number> {
    this.hearAllVms();
    this.scheduler.decide(this.now, Date.now());
    await this.commit();
    let ended = 0;
    for (const {vm, starts} of this.scheduler.startsDue(this.now)) {
      const names = starts.map(({name}) => name);
      this.scheduler.applyStartResults(
        vm,
        names.map(acceptedStart),
        this.now,
        Date.now(),
      );
      const reports = names.map(finishedReport);
      this.scheduler.applyReports(vm, reports, this.now, Date.now());
      ended += names.length;
    }
    await this.commit();
    return ended;
  }

  private submit(name: string, taskCount = TASKS_A_JOB): void {
    this.scheduler.submit(
      {
        team: `team-${name}`,
        name,
        kind: JobKind.BATCH,
        urgency: Urgency.NORMAL,
        taskKind: 'batch',
        size: {milliprocessors: 100, memoryMegabytes: 100, accelerators: 0},
        taskCount,
        expectedRunMillis: 600_000,
        payload: JSON.stringify({runMillis: 600_000}),
        idempotent: true,
        maximumFailures: 3,
      },
      this.now,
      Date.now(),
    );
  }

  /** Resolves to the number of tasks placed. */
  private async placeAll(): Promise<number> {
    let placed = 0;
    for (let round = 0; round < MAXIMUM_ROUNDS; round++) {
      this.hearAllVms();
      this.scheduler.decide(this.now, Date.now());
      await this.commit();
      for (const due of this.scheduler.startsDue(this.now)) {
        const results = due.starts.map(({name}) => acceptedStart(name));
        placed += results.length;
        this.scheduler.applyStartResults(due.vm, results, this.now, Date.now());
      }
      await this.commit();
      if (this.scheduler.counts().openAttempts >= this.tasks) break;
      this.now += ROUND_MILLIS;
    }
    return placed;
  }

  private hearAllVms(): void {
    const capacity = {
      milliprocessors: 64_000,
      memoryMegabytes: 250_000,
      accelerators: 2,
    };
    const nothing = {milliprocessors: 0, memoryMegabytes: 0, accelerators: 0};
    for (let number = 0; number < VMS; number++) {
      const view = {
        vm: `vm-${number}`,
        incarnation: this.incarnations[number],
        failureDomain: `domain-${number % 6}`,
        region: `region-${number % 2}`,
        rack: `rack-${Math.floor(number / 3)}`,
        capacity,
        committed: nothing,
        used: nothing,
        draining: false,
        stopping: false,
        recovering: false,
        runningAttempts: 0,
        services: [],
        interference: [],
      };
      this.scheduler.applyHeartbeat(view, this.now, Date.now());
    }
  }

  private async appendUntilSnapshotIsDue(): Promise<number> {
    let appends = 0;
    while (!this.log.isSnapshotDue) {
      this.submit(`later-${appends++}`);
      await this.commit();
    }
    return appends;
  }

  /** Snapshots as they fall due, as the owner of a shard does. */
  private async commit(): Promise<void> {
    const records = this.scheduler.takeRecords();
    if (records.length === 0) return;
    if (this.log.isFull) await this.log.saveSnapshot(this.scheduler.snapshot());
    await this.log.append(records, APPEND_DEADLINE_MILLIS);
    this.scheduler.acknowledge();
  }

  private async recover(): Promise<object> {
    const callsBefore = this.store.callCount();
    const started = process.cpuUsage();
    const startedAt = performance.now();
    const replay = await this.openLog().read();
    const readMillis = performance.now() - startedAt;
    const restored = ShardScheduler.restore(replay.snapshot, {
      shard: SHARD,
      random: this.random,
    });
    for (const record of replay.records) restored.replay(record);
    restored.beginOwnership(
      'entry-2',
      this.log.nextAppendSequence,
      this.now,
      this.now,
    );
    const {user, system} = process.cpuUsage(started);
    return {
      storeCalls: this.store.callCount() - callsBefore,
      records: replay.records.length,
      logCharacters: JSON.stringify(replay.records).length,
      readMillis: round(readMillis),
      recoveryMillis: round(performance.now() - startedAt),
      processorMillis: round((user + system) / 1_000),
      openAttempts: restored.counts().openAttempts,
    };
  }
}

function acceptedStart(name: AttemptName): StartOutcome {
  return {name, accepted: true, resultCode: 0, reason: ''};
}

function finishedReport(name: AttemptName): AttemptReport {
  return {
    name,
    outcome: 'finished',
    checkpoint: '',
    result: 'done',
    reason: '',
    resultCode: 0,
    ranMillis: CLOSED_TASK_RUN_MILLIS,
    used: {milliprocessors: 0, memoryMegabytes: 0, accelerators: 0},
  };
}

function round(value: number): number {
  return Number(value.toPrecision(3));
}

const rows: object[] = [];
for (const tasks of TASK_COUNTS) {
  rows.push(await new ShardRecovery(tasks).measure());
}
for (const closedJobs of CLOSED_JOB_COUNTS) {
  const recovery = new ShardRecovery(TASKS_BESIDE_CLOSED_JOBS, closedJobs);
  rows.push(await recovery.measure());
}
if (process.argv.includes('--json')) console.log(JSON.stringify(rows));
else for (const row of rows) console.log(row);
process.exit(0);

import type {ExecutionContext} from 'ava';
import type {EntryApi, WorkView} from '../../bench/fleet/entry_api.js';
import {Fleet} from '../../bench/fleet/fleet.js';
import {PAIR_FLEET} from '../../bench/fleet/fleet_layout.js';
import type {AttemptRun} from '../../bench/fleet/fleet_records.js';
import {ServiceLoad} from '../../bench/fleet/service_load.js';
import {waitUntil} from '../../bench/fleet/wait_until.js';
import {
  preferredOwner,
  shardOfTeam,
} from '../../src/entry/shards/shard_assignment.js';

const WATCHER = 'freezer-7';
const TASKS = 6;
const DEFAULT_TASK_RUN_MILLIS = 3_000;
const DEFAULT_TASK_LEASE_SECONDS = 15;
const REQUESTS_AFTER = 20;
const SHARD_COUNT = 12;
const WAIT = {deadlineMillis: 45_000};

export interface NightOptions {
  readonly taskRunMillis?: number;
  readonly taskLeaseSeconds?: number;
}

/** A fleet of processes with a watcher, a running job and requests. */
export class NightFixture {
  private readonly load: ServiceLoad;

  private constructor(
    private readonly t: ExecutionContext,
    readonly fleet: Fleet,
  ) {
    this.load = new ServiceLoad(fleet.entries(), fleet.layout.service);
  }

  /** Starts the fleet; the watcher and all tasks of the job run then. */
  static async open(
    t: ExecutionContext,
    options: NightOptions = {},
  ): Promise<NightFixture> {
    const fleet = await Fleet.create({layout: PAIR_FLEET});
    t.teardown(() => fleet.dispose({keepFolder: !t.passed}));
    await fleet.start();
    const night = new NightFixture(t, fleet);
    await night.openWork(options);
    night.load.start();
    t.teardown(() => night.load.stop());
    return night;
  }

  /** The entry that owns the shard of the team. */
  owner(): string {
    const {layout} = this.fleet;
    const shard = shardOfTeam(layout.team, SHARD_COUNT);
    const names = layout.entries.map(entry => entry.name);
    return preferredOwner(shard, names)!;
  }

  otherEntry(): EntryApi {
    const owner = this.owner();
    const other = this.fleet.layout.entries.find(each => each.name !== owner);
    return this.fleet.entry(other!.name);
  }

  /** The VM on which the watcher runs. */
  watcherVm(): string {
    return this.watcherRuns().at(-1)!.worker;
  }

  watcherRuns(): AttemptRun[] {
    return this.runsOf(WATCHER);
  }

  /** What went wrong with requests sent since the fleet was opened. */
  async failedRequests(): Promise<readonly string[]> {
    await this.load.stop();
    return this.load.tally(this.fleet.records).faults;
  }

  /** Waits until the job has finished and the watcher runs somewhere. */
  async finish(entry: EntryApi): Promise<void> {
    const path = `${this.teamPath}/jobs/builds`;
    const isFinished = async () => {
      const job = await entry.call<WorkView>(path);
      if (job.phase === 'finished') return true;
      throw new Error(`${job.phase} ${JSON.stringify(job.counts)}`);
    };
    await waitUntil('the job finishes', isFinished, WAIT);
    await waitUntil('the watcher runs', () => this.watcherIsUp(), WAIT);
  }

  /** Checks the counts of the stand-ins; the whole fleet is up again. */
  async checkCounts(): Promise<void> {
    const {t, fleet} = this;
    await fleet.waitUntilHealthy();
    await this.load.stop();
    const after = new ServiceLoad(fleet.entries(), fleet.layout.service);
    await after.send(REQUESTS_AFTER);
    const tally = after.tally(fleet.records);
    t.deepEqual(tally.faults, []);
    t.is(tally.served, REQUESTS_AFTER);
    const during = this.load.tally(fleet.records);
    t.is(during.ranTwice, 0, 'requests that ran twice');
    t.deepEqual(
      during.faults.filter(fault => fault.startsWith('answer of')),
      [],
    );
    const {finished, overSize} = fleet.records.tally();
    t.is(finished, TASKS, 'finished tasks');
    t.deepEqual(fleet.records.runsTwice(), []);
    t.is(overSize, 0, 'starts beyond the size of a VM');
    t.is(this.openWatcherRuns(), 1, 'watchers that run');
  }

  private get teamPath(): string {
    return `/v1/teams/${this.fleet.layout.team}`;
  }

  private async openWork(options: NightOptions): Promise<void> {
    const {
      taskRunMillis = DEFAULT_TASK_RUN_MILLIS,
      taskLeaseSeconds = DEFAULT_TASK_LEASE_SECONDS,
    } = options;
    const [entry] = this.fleet.entries();
    const leases = `[leases]\ntask_lease_seconds = ${taskLeaseSeconds}\n`;
    await entry.putSettings('fleet', leases, 0);
    const size = {milliprocessors: 1_000, memoryMegabytes: 500};
    const payload = JSON.stringify({runMillis: taskRunMillis});
    const watcher = {name: WATCHER, ...size};
    const job = {name: 'builds', tasks: TASKS, payload, ...size};
    await entry.submit(`${this.teamPath}/watchers`, watcher);
    await entry.submit(`${this.teamPath}/jobs`, job);
    await waitUntil('the watcher runs', () => this.watcherIsUp(), WAIT);
    const allStarted = () =>
      this.runsOf('builds').length >= TASKS ? true : undefined;
    await waitUntil('all tasks run', allStarted, WAIT);
  }

  private watcherIsUp(): true | undefined {
    return this.openWatcherRuns() > 0 ? true : undefined;
  }

  private openWatcherRuns(): number {
    const open = this.watcherRuns().filter(run => run.endedAt === Infinity);
    return open.length;
  }

  private runsOf(job: string): AttemptRun[] {
    const {records, layout} = this.fleet;
    return records.attemptsOf(`${layout.team}/${job}`);
  }
}

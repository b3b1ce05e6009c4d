import type {EntryApi, WorkView} from './entry_api.js';
import type {Fleet} from './fleet.js';
import {ServiceLoad} from './service_load.js';
import {pause, waitUntil} from './wait_until.js';

const JOB = 'night-builds';
const WATCHER = 'freezer-7';
const DOMAIN_OUT = 'tema';
const TASKS = 30;
const TASK_RUN_MILLIS = 1_500;
const TASK_MILLIPROCESSORS = 4_000;
const REQUESTS = 200;
const IN_FORCE_TARGET_MILLIS = 5_000;
const TIME_OUT_MILLIS = 4_000;
const WORK_DEADLINE_MILLIS = 30_000;
const MILLIS_PER_SECOND = 1_000;

export interface DemoResult {
  readonly served: number;
  readonly failed: number;
  readonly tasksFinished: number;
  readonly tasksTwice: number;
  readonly startsInDomainOut: number;
  readonly configSeconds: number;
  readonly ok: boolean;
}

interface InForce {
  /** Calendar time at which the change was accepted. */
  readonly acceptedAt: number;
  readonly tookMillis: number;
}

/** Drives a small fleet through one short night and counts the outcome. */
export class DemoRun {
  private readonly faults: string[] = [];
  private readonly load: ServiceLoad;
  private readonly operator: EntryApi;
  private configMillis = 0;
  private startsInDomainOut = 0;
  private watcherPlaces = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly report: (text: string) => void,
  ) {
    this.operator = fleet.entries()[0];
    this.load = new ServiceLoad(fleet.entries(), fleet.layout.service);
  }

  async run(): Promise<DemoResult> {
    await this.putSettings();
    await this.openWork();
    const requests = this.load.send(REQUESTS);
    await this.takeDomainOutAndIn();
    await requests;
    await this.finishWork();
    await this.stop();
    return this.count();
  }

  /** What was wrong, for people; empty when nothing was. */
  problems(): readonly string[] {
    return this.faults;
  }

  private get teamPath(): string {
    return `/v1/teams/${this.fleet.layout.team}`;
  }

  private async putSettings(): Promise<void> {
    const {team, service} = this.fleet.layout;
    const text = [
      '[quota]',
      'running_tasks = 10',
      `[service ${service}]`,
      'default_deadline_milliseconds = 2000',
      '',
    ].join('\n');
    const {revision} = await this.operator.putSettings(team, text, 0);
    const inForce = await this.waitUntilInForce(revision, Date.now());
    this.report(`settings of ${team} in force after ${seconds(inForce)} s`);
  }

  private async openWork(): Promise<void> {
    await this.operator.submit(`${this.teamPath}/watchers`, {
      name: WATCHER,
      milliprocessors: 500,
    });
    await this.operator.submit(`${this.teamPath}/jobs`, {
      name: JOB,
      tasks: TASKS,
      milliprocessors: TASK_MILLIPROCESSORS,
      memoryMegabytes: 1_000,
      expectedRunMillis: TASK_RUN_MILLIS,
      payload: JSON.stringify({runMillis: TASK_RUN_MILLIS}),
    });
    const {team} = this.fleet.layout;
    await waitUntil(
      'watcher and tasks run',
      () => {
        const {records} = this.fleet;
        const watcher = records.attemptsOf(`${team}/${WATCHER}`).length;
        const tasks = records.attemptsOf(`${team}/${JOB}`).length;
        return watcher > 0 && tasks > 0 ? true : undefined;
      },
      {deadlineMillis: WORK_DEADLINE_MILLIS},
    );
    this.report(`watcher ${WATCHER} and the first tasks of ${JOB} run`);
  }

  private async takeDomainOutAndIn(): Promise<void> {
    const out = await this.changeDomain('out');
    await pause(TIME_OUT_MILLIS);
    const inAt = Date.now();
    const waited = Math.min(out.tookMillis, IN_FORCE_TARGET_MILLIS);
    const from = out.acceptedAt + waited;
    for (const vm of this.fleet.layout.vms) {
      if (vm.failureDomain !== DOMAIN_OUT) continue;
      const {records} = this.fleet;
      this.startsInDomainOut += records.startsBetween(vm.name, from, inAt);
    }
    this.report(`${this.startsInDomainOut} starts in ${DOMAIN_OUT} while out`);
    await this.changeDomain('in');
  }

  private async changeDomain(direction: 'out' | 'in'): Promise<InForce> {
    const path = `/v1/failure-domains/${DOMAIN_OUT}/${direction}`;
    const {revision} = await this.operator.post<{revision: number}>(path);
    const acceptedAt = Date.now();
    const tookMillis = await this.waitUntilInForce(revision, acceptedAt);
    const text = `${DOMAIN_OUT} is ${direction}, everywhere after`;
    this.report(`${text} ${seconds(tookMillis)} s`);
    return {acceptedAt, tookMillis};
  }

  /** Milliseconds until each process reports the revision or a newer one. */
  private async waitUntilInForce(
    revision: number,
    acceptedAt: number,
  ): Promise<number> {
    const {entries, vms} = this.fleet.layout;
    const wanted = entries.length + vms.length;
    await waitUntil(
      `revision ${revision} is in force everywhere`,
      async () => {
        const statuses = await this.operator.statuses();
        const late = statuses.filter(each => each.settingsRevision < revision);
        if (late.length === 0 && statuses.length >= wanted) return true;
        const names = late.map(each => each.processId).join(', ');
        throw new Error(`${statuses.length} processes, late: ${names}`);
      },
      {deadlineMillis: WORK_DEADLINE_MILLIS},
    );
    const tookMillis = Date.now() - acceptedAt;
    this.configMillis = Math.max(this.configMillis, tookMillis);
    return tookMillis;
  }

  private async finishWork(): Promise<void> {
    const job = await this.waitUntilEnded(`${this.teamPath}/jobs/${JOB}`);
    this.report(`job ${JOB} is ${job.phase}`);
    await this.operator.post(`${this.teamPath}/jobs/${JOB}/confirm`, {
      by: 'depot supervisor',
    });
    this.report(`job ${JOB} confirmed by name`);
    const {records, layout} = this.fleet;
    const watchers = records.attemptsOf(`${layout.team}/${WATCHER}`);
    this.watcherPlaces = watchers.filter(
      run => run.endedAt === Infinity,
    ).length;
    await this.operator.post(`${this.teamPath}/watchers/${WATCHER}/close`);
    await this.waitUntilEnded(`${this.teamPath}/watchers/${WATCHER}`);
    this.report(`watcher ${WATCHER} closed`);
  }

  private waitUntilEnded(path: string): Promise<WorkView> {
    return waitUntil(
      `${path} ends`,
      async () => {
        const work = await this.operator.call<WorkView>(path);
        if (isOver(work)) return work;
        throw new Error(`${work.phase} ${JSON.stringify(work.counts)}`);
      },
      {deadlineMillis: WORK_DEADLINE_MILLIS},
    );
  }

  private async stop(): Promise<void> {
    const ends = await this.fleet.stopAll();
    for (const [name, end] of ends) {
      if (end.code === 0) continue;
      this.faults.push(`${name} ended with ${JSON.stringify(end)}`);
    }
  }

  private count(): DemoResult {
    const requests = this.load.tally(this.fleet.records);
    const tasks = this.fleet.records.tally();
    const configSeconds = Number(seconds(this.configMillis));
    this.check(requests.failed === 0, `${requests.faults.join('; ')}`);
    this.check(requests.ranTwice === 0, 'requests ran twice');
    this.check(tasks.finished === TASKS, `${tasks.finished} tasks finished`);
    this.check(tasks.twice === 0, `${tasks.twice} tasks ran twice`);
    this.check(tasks.overSize === 0, `${tasks.overSize} starts over size`);
    this.check(
      this.watcherPlaces === 1,
      `${this.watcherPlaces} watcher places`,
    );
    this.check(this.startsInDomainOut === 0, 'starts in the domain out');
    const inTime = this.configMillis <= IN_FORCE_TARGET_MILLIS;
    this.check(inTime, `settings took ${configSeconds} s`);
    return {
      served: requests.served,
      failed: requests.failed,
      tasksFinished: tasks.finished,
      tasksTwice: tasks.twice,
      startsInDomainOut: this.startsInDomainOut,
      configSeconds,
      ok: this.faults.length === 0,
    };
  }

  private check(holds: boolean, problem: string): void {
    if (!holds) this.faults.push(problem);
  }
}

function isOver(work: WorkView): boolean {
  return ['finished', 'failed', 'cancelled', 'held'].includes(work.phase);
}

function seconds(millis: number): string {
  return (millis / MILLIS_PER_SECOND).toFixed(2);
}

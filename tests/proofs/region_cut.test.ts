import test from 'ava';
import type {ExecutionContext} from 'ava';
import {ALL_CHECKERS} from '../history/checkers/all_checkers.js';
import type {HistoryEvent, Observation} from '../history/history.js';
import type {VirtualEntry} from '../history/virtual_entry.js';
import {VirtualFleet} from '../history/virtual_fleet.js';
import {SERVICE, SERVICE_TEAM} from '../history/virtual_vm.js';

const BOOT_MILLIS = 8_000;
const CUT_BEGIN_MILLIS = 20_000;
const HOUR_MILLIS = 3_600_000;
const CUT_END_MILLIS = CUT_BEGIN_MILLIS + HOUR_MILLIS;
const LAST_END_MILLIS = CUT_END_MILLIS + 240_000;
const REQUEST_PERIOD_MILLIS = 30_000;
/** More than can run at once, so that tasks wait when the cut begins. */
const FIRST_JOBS = 24;
const LATER_JOB_PERIOD_MILLIS = 600_000;
const SUBMIT_RETRY_MILLIS = 2_000;
const JOB_RUN_MILLIS = 100_000;
/** Limits after the cut for starts and ends in the region without store. */
const MAXIMUM_START_DELAY_MILLIS = 10_000;
const MAXIMUM_END_DELAY_MILLIS = 120_000;
const DOMAIN_OUT_AFTER_MILLIS = 60_000;
/** Time within which settings must be in force everywhere. */
const MAXIMUM_SETTINGS_DELAY_MILLIS = 15_000;
/** The region without the store: one of three entries, and its domain's VM. */
const CUT_OFF_IDS = ['entry-3', 'vm-3'];
const CUT_OFF_DOMAIN = 'mahres';

class RegionCutScenario {
  readonly fleet = new VirtualFleet(11, {reached: () => {}});
  readonly cutOffStatuses: string[] = [];
  readonly connectedStatuses: string[] = [];
  jobCount = 0;
  private requestCount = 0;

  get connectedEntry(): VirtualEntry {
    return this.fleet.entries[0];
  }

  get cutOffEntry(): VirtualEntry {
    return this.fleet.entries[2];
  }

  async run(): Promise<void> {
    const {fleet} = this;
    await fleet.runUntil(BOOT_MILLIS);
    for (let job = 0; job < FIRST_JOBS; job++) this.submit();
    await fleet.runUntil(CUT_BEGIN_MILLIS);
    this.setCut(true);
    fleet.clock.schedule(DOMAIN_OUT_AFTER_MILLIS, () => this.takeOutDomain());
    this.requestNext();
    this.submitNext();
    await fleet.runUntil(CUT_END_MILLIS);
    this.setCut(false);
    await fleet.runUntil(LAST_END_MILLIS);
  }

  events<Type extends Observation['type']>(
    type: Type,
  ): Array<HistoryEvent & {type: Type}> {
    return this.fleet.history.events.filter(
      (event): event is HistoryEvent & {type: Type} => event.type === type,
    );
  }

  private submitNext(): void {
    const {clock} = this.fleet;
    if (clock.now() >= CUT_END_MILLIS) return;
    clock.schedule(LATER_JOB_PERIOD_MILLIS, () => this.submitNext());
    this.submit();
  }

  private submit(): void {
    const job = `job-${++this.jobCount}`;
    const team = 'depot';
    this.fleet.history.record({
      type: 'jobDeclared',
      team,
      job,
      idempotent: true,
      tasks: 1,
    });
    void this.submitUntilAccepted(team, job);
  }

  /** Submits like a caller that retries until the job is accepted. */
  private async submitUntilAccepted(team: string, job: string): Promise<void> {
    const answer = await this.connectedEntry.call({
      method: 'POST',
      path: `/v1/teams/${team}/jobs`,
      body: JSON.stringify({
        name: job,
        milliprocessors: 1_000,
        memoryMegabytes: 1_500,
        payload: JSON.stringify({runMillis: JOB_RUN_MILLIS}),
      }),
    });
    if (answer && answer.status >= 200 && answer.status < 300) return;
    this.fleet.clock.schedule(SUBMIT_RETRY_MILLIS, () => {
      void this.submitUntilAccepted(team, job);
    });
  }

  private setCut(isCut: boolean): void {
    const {network, entries, vms} = this.fleet;
    const ids = [...entries, ...vms].map(process => process.options.id);
    for (const from of ids) {
      for (const to of ids) {
        if (CUT_OFF_IDS.includes(from) === CUT_OFF_IDS.includes(to)) continue;
        if (isCut) network.cuts.add(`${from}>${to}`);
        else network.cuts.delete(`${from}>${to}`);
      }
    }
    this.cutOffEntry.store.cut = isCut;
    this.fleet.history.record({
      type: isCut ? 'faultBegin' : 'faultEnd',
      fault: 'regions cut',
      process: CUT_OFF_IDS.join('/'),
    });
  }

  private takeOutDomain(): void {
    const path = `/v1/failure-domains/${CUT_OFF_DOMAIN}/out`;
    void this.connectedEntry.call({method: 'POST', path});
  }

  private requestNext(): void {
    const {clock} = this.fleet;
    if (clock.now() >= CUT_END_MILLIS) return;
    clock.schedule(REQUEST_PERIOD_MILLIS, () => this.requestNext());
    void this.request(this.cutOffEntry, this.cutOffStatuses);
    void this.request(this.connectedEntry, this.connectedStatuses);
  }

  private async request(
    entry: VirtualEntry,
    statuses: string[],
  ): Promise<void> {
    const answer = await entry.call({
      method: 'GET',
      path: `/v1/services/${SERVICE}/check`,
      headers: {
        'x-request-id': `request-${++this.requestCount}`,
        'x-team': SERVICE_TEAM,
        'x-deadline-milliseconds': '1000',
      },
    });
    statuses.push(String(answer?.status));
  }
}

test('should violate no point while two regions are disconnected for an hour', async t => {
  t.timeout(600_000);
  const cut = new RegionCutScenario();
  await cut.run();
  const {events} = cut.fleet.history;
  checkTasks(t, cut);
  checkSettings(t, cut);
  t.deepEqual(new Set(cut.cutOffStatuses), new Set(['200']));
  t.deepEqual(new Set(cut.connectedStatuses), new Set(['200']));
  t.deepEqual(
    ALL_CHECKERS.flatMap(checker => checker.check(events)),
    [],
  );
  cut.fleet.dispose();
});

function checkTasks(t: ExecutionContext, cut: RegionCutScenario): void {
  const isDuringCut = (event: HistoryEvent) =>
    event.time > CUT_BEGIN_MILLIS && event.time < CUT_END_MILLIS;
  const isCutOff = (event: HistoryEvent) =>
    'vm' in event && CUT_OFF_IDS.includes(event.vm);
  const starts = cut.events('taskStart');
  t.true(
    starts.some(start => isCutOff(start) && start.time < CUT_BEGIN_MILLIS),
  );
  const lastStart = latestAfterCut(starts.filter(isDuringCut).filter(isCutOff));
  t.log(`last start in the cut-off region: ${lastStart} ms after the cut`);
  t.true(lastStart <= MAXIMUM_START_DELAY_MILLIS);
  const ends = [
    ...cut.events('taskLapse'),
    ...cut.events('taskStop'),
    ...cut.events('taskFinish'),
  ];
  const lastEnd = latestAfterCut(ends.filter(isDuringCut).filter(isCutOff));
  t.log(`last task in the cut-off region ended: ${lastEnd} ms after the cut`);
  t.true(lastEnd <= MAXIMUM_END_DELAY_MILLIS);
  const lastClosed = latestAfterCut(cut.events('attemptClosed'));
  t.log(`last attempt closed: ${lastClosed} ms after the cut`);
  const finished = cut
    .events('attemptClosed')
    .filter(event => event.outcome === 'finished');
  t.is(new Set(finished.map(event => event.name.job)).size, cut.jobCount);
}

function checkSettings(t: ExecutionContext, cut: RegionCutScenario): void {
  const accepted = cut.events('settingsAccepted').at(-1)!;
  t.deepEqual(accepted.domainsOut, [CUT_OFF_DOMAIN]);
  const inForce = cut
    .events('settingsInForce')
    .filter(event => event.revision >= accepted.revision);
  for (const {process, time} of inForce) {
    const isCutOff = CUT_OFF_IDS.includes(process);
    const since = isCutOff ? CUT_END_MILLIS : accepted.time;
    t.log(`in force at ${process} after ${time - since} ms`);
    t.true(time - since >= 0 && time - since <= MAXIMUM_SETTINGS_DELAY_MILLIS);
  }
  const processes = new Set(inForce.map(event => event.process));
  t.is(processes.size, cut.fleet.entries.length + cut.fleet.vms.length);
}

function latestAfterCut(events: readonly HistoryEvent[]): number {
  return Math.max(0, ...events.map(event => event.time - CUT_BEGIN_MILLIS));
}

import test from 'ava';
import type {ExecutionContext} from 'ava';
import {ALL_CHECKERS} from '../history/checkers/all_checkers.js';
import type {HistoryEvent, Observation} from '../history/history.js';
import type {VirtualEntry} from '../history/virtual_entry.js';
import {VirtualFleet} from '../history/virtual_fleet.js';
import {SERVICE, SERVICE_TEAM} from '../history/virtual_vm.js';

const BOOT_MILLIS = 8_000;
const CUT_MILLIS = 20_000;
const HOUR_MILLIS = 3_600_000;
const MEET_MILLIS = CUT_MILLIS + HOUR_MILLIS;
const LAST_END_MILLIS = MEET_MILLIS + 240_000;
const REQUEST_PERIOD_MILLIS = 30_000;
/** More than fits at a time, so that tasks wait when the cut begins. */
const FIRST_JOBS = 24;
const LATER_JOB_PERIOD_MILLIS = 600_000;
const SUBMIT_AGAIN_MILLIS = 2_000;
const JOB_RUN_MILLIS = 100_000;
/** What the cut region may go on doing without the store. */
const LAST_START_MILLIS = 10_000;
const LAST_STOP_MILLIS = 120_000;
const DOMAIN_OUT_AFTER_MILLIS = 60_000;
/** Within it, settings have to be in force everywhere. */
const SETTINGS_MILLIS = 15_000;
/** Without the store: one of three entries and the VM of its domain. */
const THERE = ['entry-3', 'vm-3'];
const DOMAIN_THERE = 'mahres';

class RegionCut {
  readonly fleet = new VirtualFleet(11, {reached: () => {}});
  readonly answersThere: string[] = [];
  readonly answersHere: string[] = [];
  jobs = 0;
  private requests = 0;

  get here(): VirtualEntry {
    return this.fleet.entries[0];
  }

  get there(): VirtualEntry {
    return this.fleet.entries[2];
  }

  async run(): Promise<void> {
    const {fleet} = this;
    await fleet.runUntil(BOOT_MILLIS);
    for (let job = 0; job < FIRST_JOBS; job++) this.submit();
    await fleet.runUntil(CUT_MILLIS);
    this.setCut(true);
    fleet.clock.schedule(DOMAIN_OUT_AFTER_MILLIS, () => this.takeDomainOut());
    this.requestNext();
    this.submitNext();
    await fleet.runUntil(MEET_MILLIS);
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
    if (clock.now() >= MEET_MILLIS) return;
    clock.schedule(LATER_JOB_PERIOD_MILLIS, () => this.submitNext());
    this.submit();
  }

  private submit(): void {
    const job = `job-${++this.jobs}`;
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

  /** As a caller does that wants to know whether the job stands. */
  private async submitUntilAccepted(team: string, job: string): Promise<void> {
    const answer = await this.here.call({
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
    this.fleet.clock.schedule(SUBMIT_AGAIN_MILLIS, () => {
      void this.submitUntilAccepted(team, job);
    });
  }

  private setCut(isCut: boolean): void {
    const {network, entries, vms} = this.fleet;
    const ids = [...entries, ...vms].map(process => process.options.id);
    for (const from of ids) {
      for (const to of ids) {
        if (THERE.includes(from) === THERE.includes(to)) continue;
        if (isCut) network.cuts.add(`${from}>${to}`);
        else network.cuts.delete(`${from}>${to}`);
      }
    }
    this.there.store.cut = isCut;
    this.fleet.history.record({
      type: isCut ? 'faultBegin' : 'faultEnd',
      fault: 'regions cut',
      process: THERE.join('/'),
    });
  }

  private takeDomainOut(): void {
    const path = `/v1/failure-domains/${DOMAIN_THERE}/out`;
    void this.here.call({method: 'POST', path});
  }

  private requestNext(): void {
    const {clock} = this.fleet;
    if (clock.now() >= MEET_MILLIS) return;
    clock.schedule(REQUEST_PERIOD_MILLIS, () => this.requestNext());
    void this.request(this.there, this.answersThere);
    void this.request(this.here, this.answersHere);
  }

  private async request(entry: VirtualEntry, answers: string[]): Promise<void> {
    const answer = await entry.call({
      method: 'GET',
      path: `/v1/services/${SERVICE}/check`,
      headers: {
        'x-request-id': `request-${++this.requests}`,
        'x-team': SERVICE_TEAM,
        'x-deadline-milliseconds': '1000',
      },
    });
    answers.push(String(answer?.status));
  }
}

test('should keep both regions safe while they cannot see each other for an hour', async t => {
  t.timeout(600_000);
  const cut = new RegionCut();
  await cut.run();
  const {events} = cut.fleet.history;
  checkTasks(t, cut);
  checkSettings(t, cut);
  t.deepEqual(new Set(cut.answersThere), new Set(['200']));
  t.deepEqual(new Set(cut.answersHere), new Set(['200']));
  t.deepEqual(
    ALL_CHECKERS.flatMap(checker => checker.check(events)),
    [],
  );
  cut.fleet.dispose();
});

function checkTasks(t: ExecutionContext, cut: RegionCut): void {
  const within = (event: HistoryEvent) =>
    event.time > CUT_MILLIS && event.time < MEET_MILLIS;
  const isThere = (event: HistoryEvent) =>
    'vm' in event && THERE.includes(event.vm);
  const starts = cut.events('taskStart');
  t.true(starts.some(start => isThere(start) && start.time < CUT_MILLIS));
  const latest = latestAfterCut(starts.filter(within).filter(isThere));
  t.log(`last start there: ${latest} ms after the cut`);
  t.true(latest <= LAST_START_MILLIS);
  const ends = [
    ...cut.events('taskLapse'),
    ...cut.events('taskStop'),
    ...cut.events('taskFinish'),
  ];
  const lastEnd = latestAfterCut(ends.filter(within).filter(isThere));
  t.log(`last task there ended: ${lastEnd} ms after the cut`);
  t.true(lastEnd <= LAST_STOP_MILLIS);
  const lastHere = latestAfterCut(cut.events('attemptClosed'));
  t.log(`last attempt closed: ${lastHere} ms after the cut`);
  const finished = cut
    .events('attemptClosed')
    .filter(event => event.outcome === 'finished');
  t.is(new Set(finished.map(event => event.name.job)).size, cut.jobs);
}

function checkSettings(t: ExecutionContext, cut: RegionCut): void {
  const accepted = cut.events('settingsAccepted').at(-1)!;
  t.deepEqual(accepted.domainsOut, [DOMAIN_THERE]);
  const inForce = cut
    .events('settingsInForce')
    .filter(event => event.revision >= accepted.revision);
  for (const {process, time} of inForce) {
    const isThere = THERE.includes(process);
    const since = isThere ? MEET_MILLIS : accepted.time;
    t.log(`in force at ${process} after ${time - since} ms`);
    t.true(time - since >= 0 && time - since <= SETTINGS_MILLIS);
  }
  const known = new Set(inForce.map(event => event.process));
  t.is(known.size, cut.fleet.entries.length + cut.fleet.vms.length);
}

function latestAfterCut(events: readonly HistoryEvent[]): number {
  return Math.max(0, ...events.map(event => event.time - CUT_MILLIS));
}

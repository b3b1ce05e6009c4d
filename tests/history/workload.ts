import type {ApiResponse} from '../../src/entry/http/api_types.js';
import {SERVICE, SERVICE_TEAM} from './virtual_vm.js';
import type {VirtualCall, VirtualEntry} from './virtual_entry.js';
import type {VirtualFleet} from './virtual_fleet.js';
import type {VirtualProcess} from './virtual_process.js';

const REQUEST_PERIOD_MILLIS = 100;
const REQUEST_DEADLINE_MILLIS = 1_000;
const SUBMIT_PERIOD_MILLIS = 2_500;
const CHECK_PERIOD_MILLIS = 2_000;
const SHOW_TRIALS = 10;
const TEAMS = ['depot', 'lab', 'yard'] as const;
/** So tight a target that the agents throttle and evict. */
const TEAM_TEXT = `[service ${SERVICE}]\ntarget_tail_milliseconds = 40\n`;
const FLEET_TEXT = '[leases]\ntask_lease_seconds = 6\n';

interface JobPlan {
  readonly team: string;
  readonly name: string;
}

/** The body of a submission, without its name. */
interface SubmissionFields {
  readonly tasks?: number;
  readonly idempotent?: boolean;
  readonly milliprocessors: number;
  readonly memoryMegabytes: number;
  readonly accelerators?: number;
  readonly urgency?: string;
  readonly maximumFailures?: number;
  readonly payload: string;
}

/** Callers and operators: what they ask for, and what they are told. */
export class Workload {
  private readonly jobs: JobPlan[] = [];
  private readonly watchers: JobPlan[] = [];
  private requests = 0;
  private builds = 0;
  private waves = 0;
  private races = 0;
  private stopped = false;

  constructor(readonly fleet: VirtualFleet) {}

  /** Writes the first settings. */
  async prepare(): Promise<void> {
    const headers = {'if-match': '0', 'x-author': 'operator'};
    for (const [branch, body] of [
      ['fleet', FLEET_TEXT],
      [SERVICE_TEAM, TEAM_TEXT],
    ]) {
      const path = `/v1/settings/${branch}`;
      await this.call({method: 'PUT', path, headers, body});
    }
  }

  /** Begins all the work; operators act at their times from now. */
  begin(): void {
    this.requestNext();
    this.submitNext();
    const {vms} = this.fleet;
    this.after(1_000, () => this.openWatcher());
    this.after(6_000, () => this.setDomain('out'));
    this.after(6_001, () => this.raceOperators(2));
    this.after(14_000, () => this.setDomain('in'));
    this.after(9_000, () => this.cancel(this.jobs.slice(-2)));
    this.after(17_000, () => this.restart(vms[0]));
    this.after(22_000, () => this.restart(this.busiestEntry()));
  }

  /** Sends and submits nothing more, and closes the watchers. */
  end(): void {
    this.stopped = true;
    for (const watcher of this.watchers) this.close(watcher);
  }

  /** Operators edit the same branch in one instant. */
  raceOperators(operators: number): void {
    this.races++;
    for (let operator = 1; operator <= operators; operator++) {
      const vm = `vm-${this.races}-${operator}-absent`;
      const path = `/v1/vms/${vm}/drain`;
      void this.call({method: 'POST', path}).then(answer => {
        if (!isDone(answer)) return;
        this.fleet.history.record({type: 'drainAnswered', vm});
      });
    }
  }

  /** Submits many small jobs; what it returns cancels all in one instant. */
  beginWave(count: number): () => void {
    const wave = ++this.waves;
    const jobs = Array.from({length: count}, (_, index) => {
      return {team: TEAMS[index % TEAMS.length], name: `wave-${wave}-${index}`};
    });
    for (const job of jobs) {
      void this.submit(job, 'jobs', {
        milliprocessors: 50,
        memoryMegabytes: 20,
        payload: JSON.stringify({runMillis: 1_000}),
      });
    }
    return () => this.cancel(jobs);
  }

  /** Whether all jobs have ended, as an entry tells. */
  async allEnded(): Promise<boolean> {
    for (const job of [...this.jobs, ...this.watchers]) {
      const found = await this.show(job);
      if (!found || !found.closed) return false;
    }
    return true;
  }

  /** Records how the jobs stand; asks again while a shard changes hands. */
  async recordEnds(): Promise<void> {
    for (const job of [...this.jobs, ...this.watchers]) {
      let found = await this.show(job);
      for (let trial = 0; trial < SHOW_TRIALS && !found; trial++) {
        await this.pause(CHECK_PERIOD_MILLIS);
        found = await this.show(job);
      }
      this.fleet.history.record({
        type: 'jobAtEnd',
        team: job.team,
        job: job.name,
        phase: found?.phase ?? 'unanswered',
        summary: found?.text ?? '',
      });
    }
  }

  private requestNext(): void {
    if (this.stopped) return;
    this.after(REQUEST_PERIOD_MILLIS, () => this.requestNext());
    void this.request();
  }

  private async request(): Promise<void> {
    const {history} = this.fleet;
    this.requests++;
    const requestId = `request-${this.requests}`;
    const idempotent = this.requests % 2 === 0;
    const body = `stock of ${this.requests}`;
    history.record({type: 'invoke', requestId, idempotent, body});
    const answer = await this.call({
      method: 'POST',
      path: `/v1/services/${SERVICE}/check`,
      headers: {
        'x-request-id': requestId,
        'x-team': SERVICE_TEAM,
        'x-idempotent': String(idempotent),
        'x-deadline-milliseconds': String(REQUEST_DEADLINE_MILLIS),
      },
      body,
    });
    history.record({
      type: 'response',
      requestId,
      outcome: outcomeOf(answer),
      body: answer ? Buffer.from(answer.body).toString() : '',
    });
  }

  private submitNext(): void {
    if (this.stopped) return;
    this.after(SUBMIT_PERIOD_MILLIS, () => this.submitNext());
    const number = ++this.builds;
    const team = TEAMS[number % TEAMS.length];
    const urgent = number % 5 === 0;
    const runMillis = 1_000 + this.fleet.random.below(9_000);
    void this.submit({team, name: `build-${number}`}, 'jobs', {
      tasks: 1 + this.fleet.random.below(3),
      milliprocessors: 1_000,
      memoryMegabytes: 1_500,
      accelerators: number % 7 === 0 ? 1 : 0,
      urgency: urgent ? 'urgent' : 'normal',
      idempotent: number % 3 !== 0,
      maximumFailures: 100,
      payload: JSON.stringify({runMillis}),
    });
  }

  private openWatcher(): void {
    const watcher = {team: 'depot', name: 'freezer'};
    void this.submit(watcher, 'watchers', {
      milliprocessors: 500,
      memoryMegabytes: 500,
      payload: JSON.stringify({runMillis: 10_000_000}),
    });
  }

  /** Submits until it is known whether the job stands. */
  private async submit(
    job: JobPlan,
    kind: 'jobs' | 'watchers',
    fields: SubmissionFields,
  ): Promise<void> {
    const {history} = this.fleet;
    const {team, name} = job;
    const known = kind === 'jobs' ? this.jobs : this.watchers;
    known.push(job);
    history.record({
      type: 'jobDeclared',
      team,
      job: name,
      idempotent: fields.idempotent ?? true,
      tasks: fields.tasks ?? 1,
    });
    for (;;) {
      const answer = await this.call({
        method: 'POST',
        path: `/v1/teams/${team}/${kind}`,
        body: JSON.stringify({...fields, name}),
      });
      if (isDone(answer)) return;
      await this.pause(CHECK_PERIOD_MILLIS);
    }
  }

  private close(watcher: JobPlan): void {
    const path = `/v1/teams/${watcher.team}/watchers/${watcher.name}/close`;
    void this.call({method: 'POST', path}).then(answer => {
      if (isDone(answer)) return;
      this.after(CHECK_PERIOD_MILLIS, () => this.close(watcher));
    });
  }

  private cancel(jobs: readonly JobPlan[]): void {
    for (const {team, name} of jobs) {
      const path = `/v1/teams/${team}/jobs/${name}/cancel`;
      void this.call({method: 'POST', path});
    }
  }

  private setDomain(direction: 'out' | 'in'): void {
    const path = `/v1/failure-domains/gabes/${direction}`;
    void this.call({method: 'POST', path}).then(answer => {
      if (isDone(answer)) return;
      this.after(CHECK_PERIOD_MILLIS, () => this.setDomain(direction));
    });
  }

  private restart(process: VirtualProcess): void {
    if (!process.alive) return;
    void process.shutDown().then(() => {
      this.after(2_000, () => {
        if (!process.alive) process.start();
      });
    });
  }

  /** The entry that owns most shards. */
  private busiestEntry(): VirtualEntry {
    const living = this.fleet.entries.filter(entry => entry.alive);
    const candidates = living.length > 0 ? living : this.fleet.entries;
    let busiest = candidates[0];
    for (const entry of candidates) {
      if (entry.ownedShards() > busiest.ownedShards()) busiest = entry;
    }
    return busiest;
  }

  private async show(
    job: JobPlan,
  ): Promise<{phase: string; closed: boolean; text: string} | undefined> {
    const path = `/v1/teams/${job.team}/jobs/${job.name}`;
    const answer = await this.call({method: 'GET', path});
    if (answer?.status !== 200) return undefined;
    const text = Buffer.from(answer.body).toString();
    const view = JSON.parse(text) as {phase: string; closedWallTime: number};
    const closed = view.closedWallTime > 0 || view.phase === 'held';
    return {phase: view.phase, closed, text};
  }

  private call(call: VirtualCall): Promise<ApiResponse | undefined> {
    return this.fleet.pickEntry().call(call);
  }

  private pause(delayMillis: number): Promise<void> {
    return new Promise(resolve =>
      this.fleet.clock.schedule(delayMillis, resolve),
    );
  }

  private after(delayMillis: number, action: () => void): void {
    this.fleet.clock.schedule(delayMillis, action);
  }
}

function isDone(answer: ApiResponse | undefined): boolean {
  return answer !== undefined && answer.status >= 200 && answer.status < 300;
}

function outcomeOf(
  answer: ApiResponse | undefined,
): 'answered' | 'notRun' | 'unknown' {
  if (!answer) return 'notRun';
  for (const [name, value] of answer.headers) {
    if (name !== 'x-outcome') continue;
    return value as 'answered' | 'notRun' | 'unknown';
  }
  return 'unknown';
}

import type {StartOutcome} from '../../src/decisions/jobs/scheduler_types.js';
import {ShardScheduler} from '../../src/decisions/jobs/shard_scheduler.js';
import type {ShardSchedulerOptions} from '../../src/decisions/jobs/shard_state.js';
import {AttemptOutcome, JobKind} from '../../src/decisions/job_types.js';
import type {
  AttemptName,
  AttemptReport,
  JobSpecification,
  LogRecord,
} from '../../src/decisions/job_types.js';
import type {VmView} from '../../src/decisions/placement/vm_table.js';
import {Random} from '../../src/utilities/random.js';
import {NO_RESOURCES} from '../../src/utilities/resources.js';

/** Returns a job of one small idempotent task, with the given overrides. */
export function specification(
  changes: Partial<JobSpecification> = {},
): JobSpecification {
  return {
    team: 'depot',
    name: 'build',
    kind: JobKind.BATCH,
    urgency: 'normal',
    taskKind: 'route',
    size: {milliprocessors: 1000, memoryMegabytes: 1000, accelerators: 0},
    taskCount: 1,
    expectedRunMillis: 1000,
    payload: '',
    idempotent: true,
    maximumFailures: 2,
    ...changes,
  };
}

export function view(vm: string, changes: Partial<VmView> = {}): VmView {
  return {
    vm,
    incarnation: '1',
    failureDomain: 'a',
    region: 'r',
    rack: 'k',
    capacity: {milliprocessors: 4000, memoryMegabytes: 8000, accelerators: 0},
    committed: NO_RESOURCES,
    used: NO_RESOURCES,
    draining: false,
    stopping: false,
    recovering: false,
    runningAttempts: 0,
    services: [],
    interference: [],
    ...changes,
  };
}

export function report(
  name: AttemptName,
  outcome: AttemptOutcome,
  changes: Partial<AttemptReport> = {},
): AttemptReport {
  return {
    name,
    outcome,
    checkpoint: outcome === AttemptOutcome.EVICTED ? 'half' : '',
    result: '',
    reason: '',
    resultCode: 0,
    ranMillis: 1000,
    used: NO_RESOURCES,
    ...changes,
  };
}

/** A scheduler with its log; each step commits the decided records. */
export class ShardFixture {
  readonly log: LogRecord[] = [];
  scheduler: ShardScheduler;
  now = 0;

  constructor(private readonly options: Partial<ShardSchedulerOptions> = {}) {
    this.scheduler = this.newScheduler();
    this.scheduler.beginOwnership('entry', 1, this.now, this.now);
  }

  /** Creates a fixture with one VM and one submitted job, before `decide`. */
  static submitted(changes: Partial<JobSpecification> = {}): ShardFixture {
    const fixture = new ShardFixture();
    fixture.heartbeat(view('vm1'));
    fixture.scheduler.submit(specification(changes), 0, 0);
    return fixture;
  }

  commit(): void {
    this.log.push(...this.scheduler.takeRecords());
    this.scheduler.acknowledge();
  }

  heartbeat(...views: VmView[]): void {
    for (const each of views)
      this.scheduler.applyHeartbeat(each, this.now, this.now);
  }

  /** Decides, commits and returns the names of the starts due on each VM. */
  step(advanceMillis = 0): Array<{vm: string; name: AttemptName}> {
    this.now += advanceMillis;
    this.scheduler.decide(this.now, this.now);
    this.commit();
    const due = this.scheduler.startsDue(this.now);
    return due.flatMap(({vm, starts}) => starts.map(({name}) => ({vm, name})));
  }

  accept(vm: string, ...names: AttemptName[]): void {
    this.answer(vm, names, {accepted: true, resultCode: 0});
  }

  refuse(vm: string, name: AttemptName, resultCode = 304): void {
    this.answer(vm, [name], {accepted: false, resultCode});
  }

  report(vm: string, ...reports: AttemptReport[]): void {
    this.scheduler.applyReports(vm, reports, this.now, this.now);
  }

  /** Replaces the scheduler by a new owner that replays the log. */
  takeOver(): void {
    this.scheduler = this.newScheduler();
    for (const record of this.log) this.scheduler.replay(record);
    const epoch = this.log.length + 1;
    this.scheduler.beginOwnership(`entry${epoch}`, epoch, this.now, this.now);
    this.commit();
  }

  newScheduler(): ShardScheduler {
    const random = new Random(7);
    return new ShardScheduler({shard: 0, random, ...this.options});
  }

  private answer(
    vm: string,
    names: AttemptName[],
    answer: Pick<StartOutcome, 'accepted' | 'resultCode'>,
  ): void {
    const results = names.map(name => ({name, reason: '', ...answer}));
    this.scheduler.applyStartResults(vm, results, this.now, this.now);
  }
}

import test from 'ava';
import * as fastCheck from 'fast-check';
import {AttemptOutcome} from '../../src/decisions/job_types.js';
import {
  readSnapshot,
  writeSnapshot,
} from '../../src/decisions/jobs/snapshot.js';
import {JobRegistry} from '../../src/decisions/jobs/job_registry.js';
import {
  decodeRecords,
  encodeRecords,
} from '../../src/decisions/jobs/record_codec.js';
import type {EncodedRecords} from '../../src/decisions/jobs/record_codec.js';
import {ShardScheduler} from '../../src/decisions/jobs/shard_scheduler.js';
import {Random} from '../../src/utilities/random.js';
import {FakeAgent} from './fake_agent.js';
import {ShardFixture, specification, view} from './shard_fixture.js';

const LEASE_MILLIS = 10_000;
const SEED = 20_261_204;
const OUTCOMES = [
  AttemptOutcome.FINISHED,
  AttemptOutcome.FAILED,
  AttemptOutcome.EVICTED,
] as const;

/** Actions, repeated according to their weight. */
const ACTIONS = [
  ...(['submit', 'submit', 'cancel', 'advance', 'advance', 'advance'] as const),
  ...(['advance', 'silence', 'end', 'report', 'loseReplies'] as const),
  ...(['refuse', 'replace', 'takeOver'] as const),
] as const;

interface Step {
  readonly action: (typeof ACTIONS)[number];
  readonly choice: number;
}

/** Runs the steps against a scheduler and fake agents. */
class Schedule {
  readonly fixture = new ShardFixture();
  readonly agents = ['vm1', 'vm2', 'vm3'].map(
    vm => new FakeAgent(vm, LEASE_MILLIS),
  );
  private readonly silentUntil = new Map<string, number>();
  private losingReplies = false;
  private submitted = 0;
  private readonly nonIdempotentJobs = new Set<string>();
  /** Starts without a checkpoint, by task of a job that isn't idempotent. */
  readonly freshRuns = new Map<string, number>();

  run(step: Step): void {
    const {fixture, agents} = this;
    const agent = agents[step.choice % agents.length];
    switch (step.action) {
      case 'submit':
        return this.submit(step.choice);
      case 'cancel': {
        const name = `job${step.choice % (this.submitted + 1)}`;
        fixture.scheduler.cancel('depot', name, '', fixture.now, fixture.now);
        return;
      }
      case 'advance':
        return this.advance(step.choice);
      case 'silence':
        this.silentUntil.set(agent.vm, fixture.now + step.choice * 200);
        return;
      case 'end': {
        const outcome = OUTCOMES[step.choice % OUTCOMES.length];
        const [key] = agent.running.keys();
        if (key) agent.end(key, outcome);
        return;
      }
      case 'report':
        return this.reportAll();
      case 'loseReplies':
        this.losingReplies = !this.losingReplies;
        return;
      case 'refuse':
        agent.refusing = !agent.refusing;
        return;
      case 'replace':
        agent.replace();
        return;
      case 'takeOver':
        fixture.takeOver();
    }
  }

  /** Returns tasks that run twice at once, or were rerun though they can't be. */
  duplicateRuns(): string[] {
    const seen = new Set<string>();
    const doubled: string[] = [];
    for (const agent of this.agents) {
      for (const {job, task} of agent.running.values()) {
        const key = `${job}/${task}`;
        if (seen.has(key)) doubled.push(key);
        seen.add(key);
      }
    }
    for (const [key, runs] of this.freshRuns) if (runs > 1) doubled.push(key);
    return doubled;
  }

  private submit(choice: number): void {
    const {fixture} = this;
    const name = `job${++this.submitted}`;
    const idempotent = choice % 2 === 0;
    if (!idempotent) this.nonIdempotentJobs.add(name);
    const job = specification({name, idempotent, taskCount: 1 + (choice % 3)});
    fixture.scheduler.submit(job, fixture.now, fixture.now);
  }

  private advance(choice: number): void {
    const {fixture} = this;
    fixture.now += choice * 40;
    for (const agent of this.agents) {
      agent.lapse(fixture.now);
      if (this.isSilent(agent)) continue;
      const incarnation = String(agent.incarnation);
      fixture.heartbeat(view(agent.vm, {incarnation}));
      agent.renewed(fixture.now);
    }
    fixture.scheduler.decide(fixture.now, fixture.now);
    fixture.commit();
    this.deliver();
  }

  private deliver(): void {
    const {scheduler, now} = this.fixture;
    for (const {vm, incarnation, starts} of scheduler.startsDue(now)) {
      const agent = this.agent(vm);
      if (this.isSilent(agent)) continue;
      const results = starts.map(({name, checkpoint}) => {
        const before = agent.running.size;
        const result = agent.start(incarnation, name, now);
        const began = agent.running.size > before;
        if (began && checkpoint === '') this.countFresh(name.job, name.task);
        return result;
      });
      if (this.losingReplies) continue;
      scheduler.applyStartResults(vm, results, now, now);
    }
    for (const {vm, names} of scheduler.queriesDue(now)) {
      const agent = this.agent(vm);
      if (this.isSilent(agent)) continue;
      const states = names.map(name => agent.query(name));
      if (this.losingReplies) continue;
      const incarnation = String(agent.incarnation);
      scheduler.applyQueryStates(vm, incarnation, states, now, now);
    }
    for (const {vm, stops} of scheduler.stopsDue(now)) {
      for (const {name} of stops) {
        const key = `${name.team}/${name.job}/${name.task}/${name.attempt}`;
        this.agent(vm).end(key, AttemptOutcome.CANCELLED);
      }
    }
  }

  private reportAll(): void {
    const {scheduler} = this.fixture;
    for (const agent of this.agents) {
      if (this.isSilent(agent)) continue;
      const reports = [...agent.unrecorded.values()];
      this.fixture.report(agent.vm, ...reports);
      const names = reports.map(({name}) => name);
      for (const {job, task, attempt} of scheduler.recordedReports(names)) {
        agent.unrecorded.delete(`depot/${job}/${task}/${attempt}`);
      }
    }
  }

  private countFresh(job: string, task: number): void {
    if (this.fixture.scheduler.job('depot', job) === undefined) return;
    if (!this.nonIdempotentJobs.has(job)) return;
    const key = `${job}/${task}`;
    this.freshRuns.set(key, (this.freshRuns.get(key) ?? 0) + 1);
  }

  private isSilent(agent: FakeAgent): boolean {
    return (this.silentUntil.get(agent.vm) ?? 0) > this.fixture.now;
  }

  private agent(vm: string): FakeAgent {
    return this.agents.find(agent => agent.vm === vm)!;
  }
}

const steps = fastCheck.array(
  fastCheck.record({
    action: fastCheck.constantFrom(...ACTIONS),
    choice: fastCheck.integer({min: 0, max: 100}),
  }),
  {minLength: 20, maxLength: 150},
);

test('should never run a task twice, whatever the schedule', t => {
  const property = fastCheck.property(steps, list => {
    const schedule = new Schedule();
    for (const step of list) {
      schedule.run(step);
      const doubled = schedule.duplicateRuns();
      if (doubled.length > 0) throw new Error(`doubled: ${doubled.join()}`);
    }
  });
  fastCheck.assert(property, {seed: SEED, numRuns: 1500});
  t.pass();
});

test('should rebuild its state from its log', t => {
  const property = fastCheck.property(steps, list => {
    const schedule = new Schedule();
    for (const step of list) schedule.run(step);
    const {fixture} = schedule;
    fixture.commit();
    const book = new JobRegistry();
    for (const record of fixture.log) book.apply(record);
    const live = fixture.scheduler.snapshot();
    const jobsOnly = writeSnapshot(readSnapshot(live).book);
    if (writeSnapshot(book) !== jobsOnly)
      throw new Error('state from the log differs');
    const options = {shard: 0, random: new Random(1)};
    const restored = ShardScheduler.restore(live, options);
    if (restored.snapshot() !== live) throw new Error('the snapshot differs');
  });
  fastCheck.assert(property, {seed: SEED, numRuns: 300});
  t.pass();
});

test('should read the records that it wrote', t => {
  const property = fastCheck.property(steps, list => {
    const schedule = new Schedule();
    for (const step of list) schedule.run(step);
    const {log} = schedule.fixture;
    const text = JSON.stringify(encodeRecords(log));
    t.deepEqual(decodeRecords(JSON.parse(text) as EncodedRecords), log);
  });
  fastCheck.assert(property, {seed: SEED, numRuns: 100});
});

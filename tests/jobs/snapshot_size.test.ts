import test from 'ava';
import {AttemptOutcome} from '../../src/decisions/job_types.js';
import {ShardFixture, report, specification, view} from './shard_fixture.js';

const MEGABYTE = 1_000_000;
const SHARDS = 12;
const TASKS_PER_JOB = 4;
const JOBS_A_DAY = Math.ceil(3800 / SHARDS);
const OPEN_JOBS = Math.ceil(14_000 / SHARDS / TASKS_PER_JOB);

test("should keep a shard's snapshot at the target size below 1 MB", t => {
  const fixture = new ShardFixture();
  const capacity = {
    milliprocessors: 1e7,
    memoryMegabytes: 1e7,
    accelerators: 0,
  };
  const views = Array.from({length: 400}, (_, index) =>
    view(`accra-kaneshie-worker-${index}`, {capacity, incarnation: 'f3a9c2d1'}),
  );
  fixture.heartbeat(...views);
  for (let index = 0; index < JOBS_A_DAY + OPEN_JOBS; index++) {
    const name = `route-build-kaneshie-${index}`;
    const payload = 'x'.repeat(200);
    const taskCount = TASKS_PER_JOB;
    const job = specification({name, payload, taskCount});
    fixture.scheduler.submit(job, 0, 0);
  }
  let finished = 0;
  for (let round = 0; fixture.scheduler.counts().waitingTasks > 0; round++) {
    fixture.heartbeat(...views);
    for (const {vm, name} of fixture.step(1000)) {
      fixture.accept(vm, name);
      if (finished++ >= JOBS_A_DAY * TASKS_PER_JOB) continue;
      const result = {result: 'stored under rounds/2026/12/04'};
      const {FINISHED} = AttemptOutcome;
      fixture.report(vm, report(name, FINISHED, result));
    }
  }
  fixture.commit();
  const bytes = fixture.scheduler.snapshot().length;
  t.log(`${bytes} bytes`);
  t.true(bytes < MEGABYTE);
});

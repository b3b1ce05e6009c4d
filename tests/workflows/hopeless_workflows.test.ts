import test from 'ava';
import type {ExecutionContext} from 'ava';
import {VirtualPool} from './fixtures/virtual_pool.js';

const STEP = {Count: 4, Cpu: 70, MemMb: 100, EstimateMs: 3_100};
const WORK = {millis: 3_100};
const HOPELESS = {millis: 200, fails: true};
const MAXIMUM_ATTEMPTS = 3;
/** How long a job may have nothing running while there is room for it. */
const MAXIMUM_IDLE_MILLIS = 3_000;
const JOBS = 40;

function idOf(number: number): string {
  return number.toString(16).padStart(16, '0');
}

/** Returns the jobs of which no task has started. */
function waitingJobs(pool: VirtualPool, ids: readonly string[]): string[] {
  const started = new Set(
    pool.history.runs.map(({task}) => task.split('.', 1)[0]),
  );
  return ids.filter(id => !started.has(id));
}

/** Submits sound jobs one after the other; returns their ids. */
async function submitJobs(
  pool: VirtualPool,
  numbers: readonly number[],
  step: Record<string, unknown> = STEP,
  behavior = WORK,
): Promise<string[]> {
  const ids: string[] = [];
  for (const number of numbers) {
    const id = idOf(number);
    await pool.submit(id, [step], behavior);
    ids.push(id);
    await pool.run(35);
  }
  return ids;
}

function numbersFrom(first: number, count: number): number[] {
  return Array.from({length: count}, (_unused, index) => first + index);
}

async function assertDone(
  t: ExecutionContext,
  pool: VirtualPool,
  ids: readonly string[],
): Promise<void> {
  for (const id of ids) t.is(await pool.state(id), 'done', id);
  t.deepEqual(pool.history.violations(), []);
}

function failuresOf(pool: VirtualPool, id: string): Map<string, number> {
  const failures = new Map<string, number>();
  for (const {task, outcome} of pool.history.runs) {
    if (!task.startsWith(id) || outcome !== 'failed') continue;
    failures.set(task, (failures.get(task) ?? 0) + 1);
  }
  return failures;
}

// Guards against jobs that can never be done and so put all idle workers into a
// cooldown: the jobs after them ran nothing for over 20 s.
for (const count of [1, 4]) {
  test(`should run jobs after two hopeless ones of ${count} tasks have failed on all workers`, async t => {
    const pool = new VirtualPool({seed: 101});
    await pool.run(3_000);
    const step = {...STEP, Count: count};
    await submitJobs(pool, [1, 2], step, HOPELESS);
    await pool.run(800);
    const ids = await submitJobs(pool, numbersFrom(3, JOBS - 2));
    await pool.run(MAXIMUM_IDLE_MILLIS);
    t.deepEqual(waitingJobs(pool, ids), []);
    await pool.run(30_000);
    await assertDone(t, pool, ids);
  });
}

// The same while the pool changes hands and what the owner knew is lost.
test('should run jobs after hopeless ones although the owner has changed', async t => {
  const pool = new VirtualPool({seed: 102});
  await pool.run(3_000);
  await submitJobs(pool, [1, 2], STEP, HOPELESS);
  pool.killEntry(pool.ownerName!);
  await pool.run(4_000);
  const ids = await submitJobs(pool, numbersFrom(3, 10));
  await pool.run(MAXIMUM_IDLE_MILLIS);
  t.deepEqual(waitingJobs(pool, ids), []);
});

test('should end a hopeless job after its attempts, neither sooner nor later', async t => {
  const pool = new VirtualPool({seed: 103});
  await pool.run(3_000);
  const [sound] = await submitJobs(pool, [1], {...STEP, Count: 12});
  const hopeless = await submitJobs(pool, [2, 3], STEP, HOPELESS);
  await pool.run(6_000);
  for (const id of hopeless) {
    t.is(await pool.state(id), 'failed');
    t.is(Math.max(...failuresOf(pool, id).values()), MAXIMUM_ATTEMPTS);
  }
  await assertDone(t, pool, [sound]);
});

// The opposite fault: a worker that fails every task draws the pool's work.
for (const failing of [1, 2]) {
  test(`should place few tasks on ${failing} of 8 workers that fail all they start`, async t => {
    const pool = new VirtualPool({seed: 104, workers: 8});
    await pool.run(3_000);
    const bad = pool.workers.slice(0, failing);
    for (const worker of bad) worker.faults.failing = true;
    const step = {...STEP, Cpu: 800};
    const ids = await submitJobs(pool, numbersFrom(1, JOBS), step, {
      millis: 900,
    });
    await pool.run(30_000);
    await assertDone(t, pool, ids);
    const names = new Set(bad.map(({name}) => name));
    const wasted = pool.history.runs.filter(({worker}) => names.has(worker));
    // Less than what an even share of the tasks would be.
    t.true(
      wasted.length < (failing / 8) * JOBS * STEP.Count,
      `${wasted.length}`,
    );
  });
}

// Guards against tasks that make no progress anywhere and so close one worker
// after another: a job for one of these waited more than 40 s.
test('should run a job for one worker beside tasks that stall everywhere', async t => {
  const pool = new VirtualPool({seed: 105});
  pool.workers[0].labels = ['special', 'r1'];
  await pool.run(3_000);
  const stalling = {...STEP, Count: 3, EstimateMs: 1_000};
  await pool.submit(idOf(1), [stalling], {millis: 1_000, hangs: true});
  for (let number = 2; number < 8; number++) {
    await pool.run(2_500);
    const id = idOf(number);
    const labelled = {...STEP, Requires: 'special'};
    await pool.submit(id, [labelled], {millis: 600});
    await pool.run(MAXIMUM_IDLE_MILLIS);
    t.deepEqual(waitingJobs(pool, [id]), []);
  }
  t.deepEqual(pool.history.violations(), []);
});

// The opposite fault: a task that stands still on one worker has to be moved.
test('should move tasks from a worker on which all stand still', async t => {
  const pool = new VirtualPool({seed: 106});
  await pool.run(3_000);
  pool.workers[0].faults.hanging = true;
  const ids = await submitJobs(pool, numbersFrom(1, 6), STEP, {millis: 1_000});
  await pool.run(8_000);
  await assertDone(t, pool, ids);
});

// Guards against a trial that lasts as long as the long task that is on it.
test('should run further tasks on workers whose tasks on trial make progress', async t => {
  const pool = new VirtualPool({seed: 107, workers: 2});
  await pool.run(3_000);
  // Each fails once, and so on each worker two workflows do.
  const lasting = {...STEP, Count: 2, AntiAffinity: 1, LongRunning: true};
  const failed = {millis: 300, fails: true, lasting: false};
  for (const number of [1, 2]) {
    const id = idOf(number);
    const runs = Object.fromEntries(
      [0, 1].map(index => [`${id}.0.0.${index}#1`, failed]),
    );
    const behavior = {millis: 600_000, lasting: true, runs};
    await pool.submit(id, [lasting], behavior);
  }
  await pool.run(500);
  const long = {...STEP, Count: 2, AntiAffinity: 1, EstimateMs: 20_000};
  await submitJobs(pool, [3], long, {millis: 20_000});
  await pool.run(3_000);
  const ids = await submitJobs(pool, [4, 5, 6], STEP);
  await pool.run(WORK.millis - 500);
  t.deepEqual(waitingJobs(pool, ids), []);
  t.is(
    pool.history.runs.filter(({endedAt}) => endedAt === undefined).length,
    2 * lasting.Count + long.Count + 3 * STEP.Count,
  );
});

import test from 'ava';
import {CommandQueue} from '../../src/entry/workflows/command_queue.js';
import {traitsOf} from '../../src/entry/workflows/run_traits.js';
import {WorkerAttachment} from '../../src/entry/workflows/worker_attachment.js';
import type {WorkerListener} from '../../src/entry/workflows/worker_attachment.js';
import {Events} from '../../src/observability/events.js';
import {SilentLogger} from '../../src/observability/logger.js';
import {
  StartCommand,
  WorkerDescription,
  WorkerUpdate,
} from '../../src/protocol/generated/burdockmoor.js';
import {progressKey, specKey} from '../../src/protocol/store_keys.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {RecordingLogger} from './fixtures/recording_logger.js';
import {settle, VirtualPool} from './fixtures/virtual_pool.js';
import {stepOf, workerOf} from './fixtures/workflow_builders.js';

const SOUND = '00000000000000a1';
const ODD = '00000000000000a2';
const LASTING = {
  Count: 3,
  Cpu: 300,
  MemMb: 100,
  LongRunning: true,
  AntiAffinity: 1,
  Image: 'watcher',
};
const BEHAVIOR = {millis: 600_000, lasting: true};
const MAXIMUM_UINT32 = 2 ** 32 - 1;
const EMPTY_START = StartCommand.decode(new Uint8Array());
const EMPTY_UPDATE = WorkerUpdate.decode(new Uint8Array());
const EMPTY_WORKER = WorkerDescription.decode(new Uint8Array());

function countRunning(pool: VirtualPool, id: string): number {
  return pool.history.runs.filter(
    ({task, endedAt}) => task.startsWith(id) && endedAt === undefined,
  ).length;
}

/** Starts a pool with a sound workflow that has a target. */
async function startPool(
  seed: number,
  logger = new RecordingLogger(),
): Promise<VirtualPool> {
  const pool = new VirtualPool({seed, logger});
  await pool.run(3_000);
  await pool.submit(SOUND, [{...LASTING, TargetMs: 62}], BEHAVIOR);
  await pool.run(1_000);
  return pool;
}

/** Replaces the stored target of a workflow by one of an earlier version. */
function rewriteTarget(pool: VirtualPool, id: string, target: unknown): void {
  const record = JSON.parse(pool.store.read(specKey(id))!) as {
    steps: Array<Record<string, unknown>>;
  };
  for (const step of record.steps) step.tailTargetMillis = target;
  pool.store.write(specKey(id), JSON.stringify(record));
}

/** Kills all processes, and starts them again. */
async function restartAll(pool: VirtualPool): Promise<void> {
  for (const entry of pool.entryNames) {
    pool.killEntry(entry);
    pool.restartEntry(entry);
  }
  for (const index of pool.workers.keys()) pool.restartAgent(index);
  await pool.run(12_000);
}

// Guards against a target that no message can carry: the job never ran, and all
// other tasks on its workers ended for good.
for (const target of [62.5, 0.5, 2 ** 32, 1e300]) {
  test(`should run a task with a target of ${target} ms beside others`, async t => {
    const pool = await startPool(111);
    const step = {...LASTING, TargetMs: target};
    t.is(await pool.submit(ODD, [step], BEHAVIOR), 200);
    await pool.run(12_000);
    t.is(countRunning(pool, ODD), LASTING.Count);
    t.is(countRunning(pool, SOUND), LASTING.Count);
    t.is(pool.history.runs.length, 2 * LASTING.Count);
  });
}

test('should refuse a target below 0', async t => {
  const pool = await startPool(112);
  const step = {...LASTING, TargetMs: -1};
  t.is(await pool.submit(ODD, [step], BEHAVIOR), 400);
});

// Guards against stored targets that stop the pool again after each restart.
for (const target of [62.5, -1, 2 ** 32, null]) {
  test(`should run a task with a stored target of ${target} after a restart`, async t => {
    const pool = await startPool(113);
    await pool.submit(ODD, [{...LASTING, TargetMs: 62}], BEHAVIOR);
    await pool.run(1_000);
    rewriteTarget(pool, ODD, target);
    await restartAll(pool);
    t.is(countRunning(pool, ODD), LASTING.Count);
    t.is(countRunning(pool, SOUND), LASTING.Count);
    t.is(pool.history.runs.length, 2 * LASTING.Count);
  });
}

// Guards against a start that no message can carry and that ends the stream.
test('should drop a start that cannot be sent, and say so', async t => {
  const logger = new RecordingLogger();
  const pool = await startPool(114, logger);
  await pool.submit(ODD, [{...LASTING, Count: 1}], BEHAVIOR);
  await pool.run(1_000);
  // The next run number does not fit a message.
  for (const worker of pool.workers) worker.restart();
  const key = progressKey(ODD);
  const record = JSON.parse(pool.store.read(key)!) as {
    occurrences: Array<[number, unknown[][]]>;
  };
  record.occurrences[0][1][0][0] = [MAXIMUM_UINT32, 0, 0, '', []];
  pool.store.write(key, JSON.stringify(record));
  await restartAll(pool);
  t.is(countRunning(pool, SOUND), LASTING.Count);
  t.is(countRunning(pool, ODD), 0);
  const dropped = logger.fieldsOf(Events.COMMAND_DROPPED);
  t.true(dropped.some(({kind, run}) => kind === 'starts' && run === 2 ** 32));
  const owner = pool.metrics.get(pool.ownerName!)!;
  t.regex(owner.render(), /commands_dropped_total\{kind="starts"\} [1-9]/);
  const reasons = logger.fieldsOf(Events.TASK_ABSENT).map(each => each.reason);
  t.true(reasons.includes('unsendable'));
});

test('should round targets to the stricter side, but not to none', t => {
  const targets = [0, -1, NaN, 0.5, 1, 62.5, 2 ** 32, 1e300];
  t.deepEqual(
    targets.map(
      tailTargetMillis => traitsOf(stepOf({tailTargetMillis})).tailTargetMillis,
    ),
    [0, 0, 0, 1, 1, 62, MAXIMUM_UINT32, MAXIMUM_UINT32],
  );
});

test('should split commands that are too many for one message, in order', t => {
  const queue = new CommandQueue();
  const payload = 'x'.repeat(4_000);
  for (let run = 1; run <= 600; run++) {
    const command = {...EMPTY_START, task: 'task', run, payload};
    t.is(queue.add('starts', command), undefined);
  }
  t.is(
    typeof queue.add('stops', {incarnation: '', task: '', run: 0.5}),
    'string',
  );
  const sent: number[] = [];
  let messages = 0;
  while (!queue.isEmpty) {
    const {commands, count} = queue.next();
    sent.push(...commands.starts.map(({run}) => run));
    queue.remove(count);
    messages++;
  }
  t.is(messages, 3);
  t.deepEqual(
    sent,
    Array.from({length: 600}, (_unused, index) => index + 1),
  );
});

// Guards against an owner that waits for ever for the end of a lease that it
// never sent.
test('should count a lease as granted only once it was sent', async t => {
  const clock = new VirtualClock();
  let isAccepting = false;
  const granted: number[] = [];
  const ignore = (): void => {};
  const view = workerOf('one');
  const listener: WorkerListener = {
    onAttached: ignore,
    onWorker: () => view,
    onEnd: ignore,
    onStartResult: ignore,
    onRunList: ignore,
    onLeaseExpired: ignore,
    onLeaseGranted: (_view, startsAt) => granted.push(startsAt),
    onDetached: ignore,
    onDropped: ignore,
    findStep: () => undefined,
  };
  const attachment = new WorkerAttachment({
    attachment: {send: () => isAccepting, close: ignore},
    listener,
    clock,
    logger: new SilentLogger(),
    epoch: 1,
    leaseMillis: () => 5_000,
  });
  const update = (sequence: number): void =>
    attachment.onMessage({
      ...EMPTY_UPDATE,
      sequence,
      agent: 'one',
      worker: EMPTY_WORKER,
    });
  update(1);
  await settle();
  t.deepEqual(granted, []);
  isAccepting = true;
  update(2);
  await settle();
  t.is(granted.length, 1);
});

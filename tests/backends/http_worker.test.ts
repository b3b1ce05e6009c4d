import test from 'ava';
import {HttpWorker} from '../../src/backends/http_worker.js';
import {
  WorkerRefusedError,
  WorkerUnavailableError,
} from '../../src/backends/platform_errors.js';
import {WorkerTaskState} from '../../src/backends/worker.js';
import type {WorkerTaskStart} from '../../src/backends/worker.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {InterferenceModel} from '../stand_ins/interference.js';
import {WorkerMachine} from '../stand_ins/worker_machine.js';
import {WorkerRecordType} from '../stand_ins/worker_records.js';
import {WorkerStandIn} from '../stand_ins/worker_stand_in.js';
import {until} from '../stand_ins/until.js';

const capacity = {
  milliprocessors: 4_000,
  memoryMegabytes: 8_000,
  accelerators: 0,
};
const size = {milliprocessors: 3_000, memoryMegabytes: 1_000, accelerators: 0};

function startOf(
  id: string,
  leaseExpiresAt: number,
  options: Partial<WorkerTaskStart> = {},
): WorkerTaskStart {
  const payload = JSON.stringify({runMillis: 1_000});
  return {
    id,
    kind: 'build',
    size,
    payload,
    checkpoint: '',
    watcher: false,
    leaseExpiresAt,
    ...options,
  };
}

function openMachine(interference?: InterferenceModel) {
  const clock = new VirtualClock();
  const machine = new WorkerMachine({
    id: 'worker-1',
    clock,
    capacity,
    interference,
    clockOffsetMillis: 777_000,
  });
  return {clock, machine};
}

test('should run a task once if the reply to its start is lost over HTTP', async t => {
  const standIn = new WorkerStandIn({id: 'worker-1', capacity});
  const address = await standIn.listen();
  const clock = new VirtualClock();
  const worker = new HttpWorker({address, clock});
  t.teardown(() => {
    worker.close('the test has ended');
    return standIn.close();
  });
  const {workerTime} = await worker.status();
  standIn.setFaults({loseReplies: 1});
  const start = startOf('a/1', workerTime + 60_000);
  const lost = worker.start(start).catch((error: Error) => error);
  await until(() => standIn.faults.loseReplies === 0);
  clock.runUntil(2_000);
  t.true((await lost) instanceof WorkerUnavailableError);
  await worker.start(start);
  await t.throwsAsync(() => worker.start(startOf('b/1', workerTime)), {
    instanceOf: WorkerRefusedError,
  });
  t.regex(await worker.checkpoint('a/1'), /doneMillis/);
  const stopped = await worker.stop('a/1', {checkpoint: true});
  t.is(stopped.state, WorkerTaskState.STOPPED);
  await worker.forget(['a/1']);
  t.is((await worker.status()).tasks.length, 0);
  t.deepEqual(
    standIn.machine.records.map(record => record.type),
    [WorkerRecordType.BOOT, WorkerRecordType.START, WorkerRecordType.STOP],
  );
});

test("should stop a task whose lease expired by the worker's clock", async t => {
  const {clock, machine} = openMachine();
  await machine.start(startOf('a/1', machine.workerTime() + 500));
  clock.runUntil(400);
  await machine.renew(['a/1'], machine.workerTime() + 300);
  clock.runUntil(690);
  t.deepEqual(machine.runningKinds(), ['build']);
  clock.runUntil(800);
  const {tasks} = await machine.status();
  t.is(tasks[0].state, WorkerTaskState.LAPSED);
});

test('should resume from a checkpoint and slow down beside an interfering task', async t => {
  const interference = new InterferenceModel([
    {name: 'build', beside: 'report', slowdown: 2},
  ]);
  const {clock, machine} = openMachine(interference);
  const lease = machine.workerTime() + 60_000;
  const checkpoint = JSON.stringify({doneMillis: 400});
  await machine.start(startOf('a/2', lease, {checkpoint}));
  clock.runUntil(200);
  await machine.start(startOf('b/1', lease, {kind: 'report', watcher: true}));
  clock.runUntil(990);
  t.is(machine.runningKinds().length, 2);
  clock.runUntil(1_001);
  const {tasks} = await machine.status();
  t.is(tasks[0].state, WorkerTaskState.FINISHED);
  t.true(machine.records.some(record => record.overSize));
});

import test from 'ava';
import type {
  StartRefusal,
  WorkerStart,
} from '../../src/backends/leased_worker.js';
import {
  WorkerRefusedError,
  WorkerUnavailableError,
} from '../../src/backends/platform_errors.js';
import {PlatformWorker} from '../../src/platform/platform_worker.js';
import {serveResponses} from './http_fake.js';

const START: WorkerStart = {
  task: '5c0e7a21d94b36f8.0.1.17',
  run: 2,
  payload: 'text',
  checkpoint: '',
  ticket: '',
  leaseEnd: 486_000.7,
  fencingToken: 7,
};

test('should start a run on the named incarnation, in whole milliseconds', async t => {
  const {address, seen} = await serveResponses(t, [
    {status: 200, body: {ClockMs: 1}},
  ]);
  const worker = new PlatformWorker({address, id: 'i-1'});
  t.is(await worker.start(START), undefined);
  t.is(seen[0].headers['x-target-instance'], 'i-1');
  t.deepEqual(seen[0].body, {
    Task: START.task,
    Run: 2,
    Spec: 'text',
    ExpiresMs: 486_000,
    FencingToken: 7,
  });
  worker.close('test');
});

const REFUSALS: Array<
  [status: number, reason: string | undefined, refusal: StartRefusal]
> = [
  [409, 'room', 'room'],
  [409, 'fence', 'fence'],
  [409, 'something new', 'rejected'],
  [421, undefined, 'replaced'],
  [400, undefined, 'rejected'],
  [429, undefined, 'rejected'],
  [503, undefined, 'rejected'],
];
for (const [status, reason, refusal] of REFUSALS) {
  test(`should interpret ${status} ${reason ?? ''} as ${refusal}`, async t => {
    const {address} = await serveResponses(t, [
      {status, body: {Reason: reason}},
    ]);
    const worker = new PlatformWorker({address, id: 'i-1'});
    t.is(await worker.start(START), refusal);
    worker.close('test');
  });
}

for (const answer of [undefined, {status: 500}]) {
  test(`should report the outcome of a start as unknown after ${answer?.status ?? 'silence'}`, async t => {
    const {address} = await serveResponses(t, [answer]);
    const worker = new PlatformWorker({address, id: 'i-1'});
    const call = worker.start(START);
    await t.throwsAsync(call, {instanceOf: WorkerUnavailableError});
    worker.close('test');
  });
}

test('should decode the lists of a hold response and skip malformed rows', async t => {
  const {address, seen} = await serveResponses(t, [
    {
      status: 200,
      body: {
        ClockMs: 482_113,
        Running: [['a.0.1.17', 2, 'c1', 41, 300], 'junk', ['b', 'c']],
        Ended: [
          [58, 'a.0.1.9', 1, 'done', ''],
          [59, 'a.0.1.8', 1, 'exploded', ''],
        ],
      },
    },
  ]);
  const worker = new PlatformWorker({address, id: 'i-1'});
  const listing = await worker.pollRuns({
    fencingToken: 7,
    acknowledgedEnd: 57,
    leaseEnd: 486_000,
    waitMillis: 10,
  });
  t.deepEqual(seen[0].body, {
    FencingToken: 7,
    LastSeen: 57,
    ExpiresMs: 486_000,
    WaitMs: 10,
  });
  t.deepEqual(listing.running, [
    {task: 'a.0.1.17', run: 2, checkpoint: 'c1', percent: 41, measure: 300},
  ]);
  t.deepEqual(listing.ends, [
    {number: 58, task: 'a.0.1.9', run: 1, outcome: 'done', checkpoint: ''},
  ]);
  worker.close('test');
});

test('should reject a hold call when another incarnation responds', async t => {
  const {address} = await serveResponses(t, [{status: 421}]);
  const worker = new PlatformWorker({address, id: 'i-1'});
  const call = worker.pollRuns({fencingToken: 7, acknowledgedEnd: 0});
  await t.throwsAsync(call, {instanceOf: WorkerRefusedError});
  worker.close('test');
});

// Guards against a lease that is computed from no number, and runs that no
// message to the owner can hold.
test('should reject a run list without a clock reading', async t => {
  const {address} = await serveResponses(t, [
    {status: 200, body: {ClockMs: 'soon', Running: [], Ended: []}},
    {status: 200, body: [1]},
  ]);
  const worker = new PlatformWorker({address, id: 'i-1'});
  for (let calls = 0; calls < 2; calls++) {
    await t.throwsAsync(
      worker.pollRuns({fencingToken: 1, acknowledgedEnd: 0}),
      {instanceOf: WorkerUnavailableError},
    );
  }
  worker.close('test');
});

test('should leave out odd rows of a run list', async t => {
  const {address} = await serveResponses(t, [
    {
      status: 200,
      body: {
        ClockMs: 5,
        born: 'yesterday',
        Running: [
          ['a.0.0.0', 1e300, '', 1, 1],
          ['a.0.0.1', 0.5, '', 1, 1],
          ['x'.repeat(500), 1, '', 1, 1],
          ['a.0.0.2', 1, '', -5, 1e300],
          // Fits a number of 32 bits, but not in tenths.
          ['a.0.0.6', 1, '', 4e9, 1],
        ],
        Ended: [
          [1e300, 'a.0.0.3', 1, 'done', ''],
          [0, 'a.0.0.4', 1, 'done', ''],
          [2, 'a.0.0.5', 1, 'done', ''],
        ],
      },
    },
  ]);
  const worker = new PlatformWorker({address, id: 'i-1'});
  const listing = await worker.pollRuns({fencingToken: 1, acknowledgedEnd: 0});
  t.is(listing.workerStartedAt, undefined);
  t.deepEqual(
    listing.running.map(({task, percent, measure}) => [task, percent, measure]),
    [
      ['a.0.0.2', 0, 0],
      ['a.0.0.6', 100, 1],
    ],
  );
  t.deepEqual(
    listing.ends.map(({task}) => task),
    ['a.0.0.5'],
  );
  worker.close('test');
});

// The agent tells a restart of the worker by the connections that it ended.
test('should count the connections that have ended', async t => {
  const {address, seen} = await serveResponses(t, [
    {status: 200, body: {ClockMs: 5}},
    undefined,
  ]);
  const worker = new PlatformWorker({address, id: 'i-1'});
  await worker.pollRuns({fencingToken: 1, acknowledgedEnd: 0});
  const before = worker.endedConnections;
  await t.throwsAsync(worker.pollRuns({fencingToken: 1, acknowledgedEnd: 0}));
  t.is(seen.length, 2);
  while (worker.endedConnections === before) await new Promise(setImmediate);
  t.pass();
  worker.close('test');
});

import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import anyTest from 'ava';
import type {TestFn} from 'ava';
import type {PlacementExplanation} from '../../src/decisions/workflows/explaining/explanation.js';
import {decodeExplanationRequest} from '../../src/platform/explanation_requests.js';
import {FakeEntry, runAgainst} from './fixtures/fake_entry.js';

const test = anyTest as TestFn<{entry: FakeEntry}>;

test.beforeEach(async t => {
  t.context = {entry: await FakeEntry.start()};
});

test.afterEach.always(t => t.context.entry.close());

const REQUEST_LINE = 'POST /placement/explain';
const WORKER = {
  failureDomain: 'domain',
  rack: 'r1',
  tasks: 0,
  isOnOtherRack: false,
  heardMillisAgo: 70,
};
const EXPLANATION: PlacementExplanation = {
  queue: 'batch',
  service: 'service',
  priority: 1,
  wallMillis: 0,
  stateAgeMillis: 300,
  usableWorkers: 25,
  unusableWorkers: 1,
  steps: [
    {
      step: 0,
      tasks: 20,
      placedTasks: 1,
      waitsFor: {kind: 'workers', steps: [], workers: {capacity: 25, drain: 1}},
      ranked: [
        {...WORKER, worker: 'agent-1/x', tasks: 1, score: 0.25},
        {...WORKER, worker: 'agent-2/x', obstacle: 'capacity'},
        {
          ...WORKER,
          worker: 'agent-3/x',
          obstacle: 'reservation',
          reservation: {holder: 'abc.0', endsInMillis: 900},
        },
      ],
      notRanked: {capacity: 22, drain: 1},
      tasksNotRanked: 0,
    },
  ],
};

test('should show the ranked workers and what rules the others out', async t => {
  const {entry} = t.context;
  const refusal = {status: 429, retryAfterSeconds: 7, reason: 'too late'};
  entry.respondTo(REQUEST_LINE, {body: EXPLANATION});
  const line = ['place', 'explain', '--queue', 'batch'];
  const run = await runAgainst(entry, ...line);
  t.is(run.status, 0);
  t.regex(run.output, /state at most 300 ms old/);
  t.regex(run.output, /20 +1 +a worker \(25 capacity, 1 drain\)/);
  t.regex(run.output, /1 +agent-1\/x +domain +r1 +1 +0\.25 +70 ms +-/);
  t.regex(run.output, /agent-2\/x .* capacity/);
  t.regex(run.output, /reservation \(abc\.0, 900 ms\)/);
  t.regex(run.output, /Other workers: 22 capacity, 1 drain/);
  t.notRegex(run.output, /refused/);
  entry.respondTo(REQUEST_LINE, {body: {...EXPLANATION, refusal}});
  const refused = await runAgainst(entry, ...line);
  t.regex(refused.output, /refused with status 429 and Retry-After 7/);
  const json = await runAgainst(entry, ...line, '--json');
  t.deepEqual(JSON.parse(json.output), {...EXPLANATION, refusal});
});

// Guards against options that the entry does not understand.
test('should send the options as a workflow that entries accept', async t => {
  const {entry} = t.context;
  entry.respondTo(REQUEST_LINE, {body: EXPLANATION});
  const options =
    '--queue batch --tasks 20 --milliprocessors 1800 --memory-megabytes 64 --accelerators 1 --estimate-millis 3000 --image i --tail-target-millis 50 --label l --data-rack r --spread 2 --best-effort --long-running --gang --rack-local';
  await runAgainst(entry, 'place', 'explain', ...options.split(' '));
  t.deepEqual(decodeExplanationRequest(entry.requests[0].body), {
    queue: 'batch',
    steps: [
      {
        count: 20,
        size: {milliprocessors: 1_800, memoryMegabytes: 64, accelerators: 1},
        estimateMillis: 3_000,
        after: [],
        checkpoints: false,
        gang: true,
        rackLocal: true,
        requiredLabel: 'l',
        dataRack: 'r',
        spreadLimit: 2,
        speculative: false,
        lasting: true,
        image: 'i',
        tailTargetMillis: 50,
        fills: true,
        mayMiss: 0,
      },
    ],
  });
});

test('should send a file as it is, and accept no other option with it', async t => {
  const {entry} = t.context;
  entry.respondTo(REQUEST_LINE, {body: EXPLANATION});
  const file = join(mkdtempSync(join(tmpdir(), 'place-')), 'workflow.json');
  writeFileSync(file, '{"queue": "batch"}');
  const line = ['place', 'explain', '--file', file];
  t.is((await runAgainst(entry, ...line)).status, 0);
  t.is(entry.requests[0].body, '{"queue": "batch"}');
  t.is((await runAgainst(entry, ...line, '--tasks', '2')).status, 2);
  t.is((await runAgainst(entry, ...line, '--gang')).status, 2);
  t.is((await runAgainst(entry, 'place', 'explain')).status, 2);
  t.is((await runAgainst(entry, ...line.slice(0, 3), '/absent')).status, 2);
  t.is(entry.requests.length, 1);
});

test('should end with the exit code of the result', async t => {
  const {entry} = t.context;
  const fail = (status: number, body: object): void =>
    entry.respondTo(REQUEST_LINE, {status, body});
  const line = ['place', 'explain', '--queue', 'batch', '--tasks', '0'];
  const message = 'The field steps.0.count is not valid.';
  fail(400, {code: 100, name: 'BAD_REQUEST', message, field: 'steps.0.count'});
  const invalid = await runAgainst(entry, ...line, '--json');
  t.is(invalid.status, 5);
  t.like(JSON.parse(invalid.errors), {field: 'steps.0.count', code: 100});
  fail(503, {code: 506, name: 'POOL_WITHOUT_OWNER', message: 'none'});
  const unowned = await runAgainst(entry, ...line);
  t.is(unowned.status, 7);
  t.regex(unowned.errors, /506 POOL_WITHOUT_OWNER/);
});

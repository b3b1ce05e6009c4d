import anyTest from 'ava';
import type {TestFn} from 'ava';
import {FakeEntry, runAgainst} from './fixtures/fake_entry.js';

const test = anyTest as TestFn<{entry: FakeEntry}>;

test.beforeEach(async t => {
  t.context = {entry: await FakeEntry.start()};
});

test.afterEach.always(t => t.context.entry.close());

function jobIn(phase: string): object {
  const task = {task: 0, phase, attempts: 1, failures: 0, vm: 'vm-2'};
  return {
    team: 'asantewaa',
    name: 'routes',
    kind: 'batch',
    urgency: 'urgent',
    phase,
    counts: {waiting: 0, [phase]: 1},
    submittedWallTime: 1000,
    closedWallTime: 0,
    tasks: [{...task, result: 'ok', reason: ''}],
  };
}

test('should submit the given options and wait for the end', async t => {
  const {entry} = t.context;
  const jobs = '/v1/teams/asantewaa/jobs';
  entry.respondTo(`POST ${jobs}`, {status: 201, body: jobIn('waiting')});
  entry.respondTo(
    `GET ${jobs}/routes`,
    {body: jobIn('running')},
    {body: jobIn('finished')},
  );
  const options = ['--tasks', '4', '--processors', '0.5', '--run-seconds=2.5'];
  const run = await runAgainst(
    entry,
    ...['job', 'submit', 'asantewaa', 'routes', ...options],
    ...['--urgency', 'urgent', '--no-idempotent', '--wait'],
  );
  t.is(run.status, 0);
  t.deepEqual(JSON.parse(entry.requests[0].body), {
    name: 'routes',
    tasks: 4,
    milliprocessors: 500,
    expectedRunMillis: 2500,
    urgency: 'urgent',
    idempotent: false,
  });
  t.is(run.errors, 'running: 1 running\nfinished: 1 finished\n');
  t.regex(run.output, /0 +finished +1 +0 +vm-2 +ok/);
});

test('should distinguish a failed job from one that has not ended', async t => {
  const {entry} = t.context;
  const path = '/v1/teams/a/jobs';
  entry.respondTo(`POST ${path}`, {body: jobIn('waiting')});
  const submit = ['job', 'submit', 'a', 'routes', '--wait'];
  entry.respondTo(`GET ${path}/routes`, {body: jobIn('failed')});
  t.is((await runAgainst(entry, ...submit)).status, 10);
  entry.respondTo(`GET ${path}/routes`, {body: jobIn('running')});
  t.is((await runAgainst(entry, ...submit)).status, 9);
});

test('should close a watcher and wait until it has ended', async t => {
  const {entry} = t.context;
  const path = '/v1/teams/a/watchers/van';
  entry.respondTo(`POST ${path}/close`, {body: jobIn('cancelling')});
  entry.respondTo(`GET ${path}`, {body: jobIn('cancelled')});
  const close = ['watcher', 'close', 'a', 'van', '--reason', 'sold', '--wait'];
  const run = await runAgainst(entry, ...close);
  t.is(run.status, 0);
  t.is(entry.requests[0].body, '{"reason":"sold"}');
});

test('should explain, list and confirm', async t => {
  const {entry} = t.context;
  const path = '/v1/teams/a/jobs';
  const history = [{wallTime: 1000, text: 'placed on vm-1: most room'}];
  const summary = 'no VM is as large: it can never run';
  const body = {team: 'a', name: 'x', phase: 'waiting', summary, history};
  entry.respondTo(`GET ${path}/x/explain`, {body});
  entry.respondTo(`GET ${path}?limit=2&after=b`, {body: [jobIn('held')]});
  entry.respondTo(`POST ${path}/x/confirm`, {body: jobIn('finished')});
  const explained = await runAgainst(entry, 'job', 'explain', 'a', 'x');
  t.regex(explained.output, /can never run\n1970.*placed on vm-1: most room/);
  const list = ['job', 'list', 'a', '--after', 'b', '--limit', '2'];
  t.regex((await runAgainst(entry, ...list)).output, /routes +held +urgent/);
  await runAgainst(entry, 'job', 'confirm', 'a', 'x');
  t.is(entry.requests.at(-1)!.body, '{"by":"efua"}');
});

test('should show the response of a service and report rejected requests', async t => {
  const {entry} = t.context;
  const call = ['service', 'call', 'rounds', 'get', 'stock/7?full=1'];
  const path = 'GET /v1/services/rounds/stock/7?full=1';
  entry.respondTo(path, {body: 'four crates'});
  const run = await runAgainst(entry, ...call, '--team', 'a', '--idempotent');
  t.is(run.output, 'four crates\n');
  t.is(entry.requests[0].headers['x-team'], 'a');
  t.is(entry.requests[0].headers['x-idempotent'], 'true');
  entry.respondTo(path, {status: 404, body: 'no such van'});
  const missing = await runAgainst(entry, ...call);
  t.is(missing.status, 10);
  t.is(missing.output, 'no such van\n');
  const body = {code: 201, name: 'QUEUE_FULL', message: 'Not run.'};
  entry.respondTo(path, {status: 503, headers: {'x-result-code': '201'}, body});
  t.is((await runAgainst(entry, ...call)).status, 7);
});

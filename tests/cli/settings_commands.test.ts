import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import anyTest from 'ava';
import type {TestFn} from 'ava';
import {FakeEntry, runAgainst} from './fixtures/fake_entry.js';

interface Fixture {
  entry: FakeEntry;
  folder: string;
}

const test = anyTest as TestFn<Fixture>;

test.beforeEach(async t => {
  const entry = await FakeEntry.start();
  t.context = {entry, folder: mkdtempSync(join(tmpdir(), 'burdockmoor-'))};
});

test.afterEach.always(t => {
  t.context.entry.close();
  rmSync(t.context.folder, {recursive: true});
});

const BRANCH = {
  branch: 'fleet',
  revision: 17,
  version: 3,
  author: 'amina',
  wallTime: 1000,
  text: '[leases]\ntask_lease_seconds = 15 ; short\n',
};

const CONFLICT = {
  status: 409,
  headers: {'x-result-code': '401'},
  body: {
    code: 401,
    name: 'SETTINGS_CONFLICT',
    message: 'changed',
    current: {...BRANCH, revision: 19, version: 4, author: 'sami'},
    proposed: {text: '[leases]\ntask_lease_seconds = 20\n'},
  },
};

function statusOf(...revisions: number[]): object {
  const processes = revisions.map((settingsRevision, index) => ({
    processId: `vm-${index}`,
    role: 'agent',
    settingsRevision,
    ageMillis: 5,
  }));
  return {revision: 18, processes};
}

function writeText(folder: string, text: string): string {
  const file = join(folder, 'fleet.ini');
  writeFileSync(file, text);
  return file;
}

test('should print a branch so that it can be applied again unchanged', async t => {
  const {entry, folder} = t.context;
  entry.respondTo('GET /v1/settings/fleet', {body: BRANCH});
  entry.respondTo('PUT /v1/settings/fleet', {body: {...BRANCH, revision: 18}});
  const got = await runAgainst(entry, 'settings', 'get', 'fleet');
  t.is(got.output, `; revision 17\n${BRANCH.text}`);
  const file = writeText(folder, got.output);
  const run = await runAgainst(entry, 'settings', 'apply', 'fleet', file);
  t.is(run.status, 0);
  const put = entry.requests.at(-1)!;
  t.is(put.body, BRANCH.text);
  t.is(put.headers['if-match'], '17');
  t.is(put.headers['x-author'], 'efua');
});

test('should not apply a file without a revision', async t => {
  const {entry, folder} = t.context;
  const file = writeText(folder, BRANCH.text);
  const run = await runAgainst(entry, 'settings', 'apply', 'fleet', file);
  t.is(run.status, 2);
  t.is(entry.requests.length, 0);
});

test('should report all errors of a text and send nothing', async t => {
  const {entry, folder} = t.context;
  const text = '; revision 17\n[leases]\ntask_lease_secs = 1\n[vm]\n';
  const file = writeText(folder, text);
  const run = await runAgainst(entry, 'settings', 'apply', 'fleet', file);
  t.is(run.status, 5);
  t.regex(run.errors, /nearest known one is task_lease_seconds/);
  t.regex(run.errors, /\[vm\]: The header/);
  t.is(entry.requests.length, 0);
});

test('should show the current and the proposed text after a conflict', async t => {
  const {entry} = t.context;
  entry.respondTo('GET /v1/settings/fleet', {body: BRANCH});
  entry.respondTo('PUT /v1/settings/fleet', CONFLICT);
  const change = ['set', 'fleet', 'leases', 'task_lease_seconds', '20'];
  const run = await runAgainst(entry, 'settings', ...change);
  t.is(run.status, 4);
  t.regex(run.errors, /changed by sami \(version 4, revision 19\)/);
  t.regex(run.errors, /< task_lease_seconds = 15 ; short/);
  t.regex(run.errors, /> task_lease_seconds = 20/);
  const json = await runAgainst(entry, 'settings', ...change, '--json');
  const report = JSON.parse(json.errors) as typeof CONFLICT.body;
  t.is(report.current.author, 'sami');
  t.is(report.proposed.text, CONFLICT.body.proposed.text);
});

test('should set one key and wait until it is in force everywhere', async t => {
  const {entry} = t.context;
  entry.respondTo('GET /v1/settings/fleet', {body: BRANCH});
  entry.respondTo('PUT /v1/settings/fleet', {body: {...BRANCH, revision: 18}});
  entry.respondTo(
    'GET /v1/settings-status',
    {body: statusOf(18, 17, 17)},
    {status: 503, body: {code: 501, name: 'STOPPING', message: ''}},
    {body: statusOf(18, 18, 18)},
  );
  const change = ['set', 'fleet', 'leases', 'task_lease_seconds', '20'];
  const run = await runAgainst(entry, 'settings', ...change, '--wait');
  t.is(run.status, 0);
  const put = entry.requests.find(({requestLine}) =>
    requestLine.startsWith('PUT'),
  )!;
  t.is(put.body, '[leases]\ntask_lease_seconds = 20 ; short\n');
  t.regex(run.errors, /1 of 3 processes; waiting for vm-1, vm-2/);
  t.regex(run.output, /In force at 3 of 3 processes after 1 s/);
});

test('should name the lagging processes when the wait times out', async t => {
  const {entry} = t.context;
  entry.respondTo('POST /v1/failure-domains/tema/out', {
    body: {...BRANCH, revision: 18},
  });
  entry.respondTo('GET /v1/settings-status', {body: statusOf(18, 17)});
  const change = ['out', 'tema', '--wait', '--timeout-seconds', '3'];
  const run = await runAgainst(entry, 'domain', ...change, '--json');
  t.is(run.status, 9);
  const result = JSON.parse(run.output) as {wait: {lagging: string[]}};
  t.deepEqual(result.wait.lagging, ['vm-1']);
  const lines = run.errors.trim().split('\n');
  t.like(JSON.parse(lines.at(-1)!), {exitStatus: 9, lagging: ['vm-1']});
  t.regex((JSON.parse(lines[0]) as {progress: string}).progress, /vm-1/);
});

test('should abbreviate a long list of lagging processes', async t => {
  const {entry} = t.context;
  const body = {...BRANCH, revision: 18};
  entry.respondTo('POST /v1/vms/vm-1/drain', {body});
  const revisions = new Array<number>(600).fill(17);
  entry.respondTo('GET /v1/settings-status', {body: statusOf(...revisions)});
  const change = ['drain', 'vm-1', '--wait', '--timeout-seconds', '1'];
  const run = await runAgainst(entry, 'vm', ...change);
  t.is(run.status, 9);
  t.regex(run.errors, /vm-0, vm-1, .*vm-7 and 592 more/);
});

test('should list versions and print the text of one', async t => {
  const {entry} = t.context;
  const versions = [BRANCH, {...BRANCH, version: 2, text: '; older\n'}];
  const body = {branch: 'fleet', versions};
  entry.respondTo('GET /v1/settings/fleet/history', {body});
  const list = await runAgainst(entry, 'settings', 'history', 'fleet');
  t.regex(list.output, /3 +1970-01-01T00:00:01.000Z +amina/);
  const version = ['history', 'fleet', '--version', '2'];
  const one = await runAgainst(entry, 'settings', ...version);
  t.is(one.output, '; older\n');
  const none = await runAgainst(
    entry,
    ...['settings', 'history', 'fleet', '--version', '9'],
  );
  t.is(none.status, 3);
});

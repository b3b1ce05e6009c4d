import anyTest from 'ava';
import type {TestFn} from 'ava';
import {ExitCodes, exitCodeOf} from '../../src/cli/exit_codes.js';
import {COMMAND_GROUPS} from '../../src/cli/tool.js';
import {ResultCodes} from '../../src/observability/result_codes.js';
import {
  FakeEntry,
  runAgainst,
  runWithEnvironment,
} from './fixtures/fake_entry.js';

const test = anyTest as TestFn<{entry: FakeEntry}>;

test.beforeEach(async t => {
  t.context = {entry: await FakeEntry.start()};
});

test.afterEach.always(t => t.context.entry.close());

const UNREACHABLE_URL = 'http://127.0.0.1:1';

test('should reject invalid command lines before sending anything', async t => {
  const {entry} = t.context;
  const wrong = [
    ['jobs'],
    ['job'],
    ['job', 'shows'],
    ['constructor', 'get'],
    ['job', 'show', 'a'],
    ['job', 'show', 'a', 'b', 'c'],
    ['job', 'show', 'a', 'b', '--jsn'],
    ['job', 'list', 'a', '--limit', 'ten'],
    ['job', 'list', 'a', '--limit'],
    ['job', 'submit', 'a', 'b', '--urgency', 'soon'],
    ['settings', 'set', 'fleet', 'leases', 'task_lease_seconds', '2;x'],
    ['service', 'call', 'a', 'G T', '/'],
  ];
  for (const line of wrong) {
    if (line[1] === 'set')
      entry.respondTo('GET /v1/settings/fleet', {body: {}});
    const run = await runAgainst(entry, ...line);
    t.is(run.status, 2, line.join(' '));
    t.not(run.errors, '');
  }
  t.is(entry.requests.length, 0);
  t.is((await runWithEnvironment({}, 'vm', 'list')).status, 2);
  t.is(
    (await runWithEnvironment({}, 'vm', 'list', '--entry', 'nowhere')).status,
    2,
  );
});

test('should show help with an example for every command', async t => {
  t.regex(
    (await runWithEnvironment({})).output,
    /burdockmoor settings get\|set/,
  );
  for (const [name, group] of Object.entries(COMMAND_GROUPS)) {
    const listed = await runWithEnvironment({}, name, '--help');
    t.is(listed.status, 0);
    for (const [commandName, command] of Object.entries(group.commands)) {
      const help = await runWithEnvironment({}, name, commandName, '--help');
      t.is(help.status, 0);
      t.true(help.output.includes(command.example));
      t.true(command.example.startsWith(`burdockmoor ${name} ${commandName}`));
      t.true(listed.output.includes(command.description));
    }
  }
});

test('should parse every example as a command line', t => {
  for (const group of Object.values(COMMAND_GROUPS)) {
    for (const command of Object.values(group.commands)) {
      const words = command.example.replace(/ > .*/, '').split(' ');
      t.notThrows(() => command.parse(words.slice(3)), command.example);
    }
  }
});

test('should try the next entry when one cannot be reached', async t => {
  const {entry} = t.context;
  entry.respondTo('GET /v1/services', {body: {services: []}});
  const urls = `${UNREACHABLE_URL},${entry.url}`;
  const run = await runWithEnvironment({}, 'service', 'list', '--entry', urls);
  t.is(run.status, 0);
});

test('should list the URLs tried when no entry can be reached', async t => {
  const run = await runWithEnvironment(
    {},
    'vm',
    'list',
    '--entry',
    UNREACHABLE_URL,
  );
  t.is(run.status, 6);
  t.regex(run.errors, /GET \/v1\/vms reached no entry\. Tried http/);
});

test('should not repeat a change that received no response', async t => {
  const {entry} = t.context;
  const urls = `${entry.url},${entry.url}`;
  const run = await runWithEnvironment(
    {},
    'vm',
    'drain',
    'vm-1',
    '--entry',
    urls,
  );
  t.is(run.status, 8);
  t.is(entry.requests.length, 1);
});

test('should end with the exit code of the result', async t => {
  const {entry} = t.context;
  const path = 'GET /v1/teams/a/jobs/x';
  const body = {code: 101, name: 'NOT_FOUND', message: 'none'};
  entry.respondTo(path, {status: 404, headers: {'x-result-code': '101'}, body});
  const run = await runAgainst(entry, 'job', 'show', 'a', 'x', '--json');
  t.is(run.status, 3);
  t.like(JSON.parse(run.errors), {code: 101, exitStatus: 3});
});

test('should map result codes to exit codes with distinct statuses', t => {
  const statusOf = (code: keyof typeof ResultCodes): number =>
    exitCodeOf(ResultCodes[code].number, ResultCodes[code].httpStatus).status;
  t.is(statusOf('JOB_CONFLICT'), ExitCodes.CONFLICT.status);
  t.is(statusOf('OUTCOME_UNKNOWN'), ExitCodes.UNKNOWN.status);
  t.is(statusOf('DEADLINE_PASSED'), ExitCodes.NOT_DONE.status);
  t.is(statusOf('STORE_UNAVAILABLE'), ExitCodes.NOT_DONE.status);
  t.is(statusOf('INTERNAL'), ExitCodes.FAULT.status);
  const statuses = Object.values(ExitCodes).map(code => code.status);
  t.is(new Set(statuses).size, statuses.length);
});

test('should dump the state of a process as JSON', async t => {
  const {entry} = t.context;
  entry.respondTo('GET /v1/state/vm-1', {body: {incarnation: 'x'}});
  const run = await runAgainst(entry, 'state', 'dump', 'vm-1');
  t.deepEqual(JSON.parse(run.output), {incarnation: 'x'});
});

import test from 'ava';
import {runOnFiles} from './fixtures/fake_entry.js';

const ID = '26a85b09c1d2e3f4';
const START_TIME = Date.parse('2026-12-04T09:00:00Z');

function logLine(
  seconds: number,
  process: string,
  name: string,
  fields: object,
): string {
  const time = new Date(START_TIME + seconds * 1_000).toISOString();
  const head = {time, level: 'info', event: 6000, name, process};
  return JSON.stringify({...head, ...fields});
}

const TASK = `${ID}.0.0.0`;
const WORKER = 'agent-1/i-1@1';

const ENTRY_LOG = [
  logLine(0, 'entry-1', 'WORKFLOW_ACCEPTED', {workflow: ID, tasks: 1}),
  logLine(2, 'entry-1', 'POOL_OWNED', {epoch: 7}),
  logLine(2.1, 'entry-1', 'RUN_PLACED', {task: TASK, run: 1, worker: WORKER}),
  logLine(3, 'entry-1', 'TASK_PACED', {task: TASK, run: 1, percent: 10}),
  logLine(4, 'entry-1', 'RUN_PLACED', {
    task: `${ID}f.0.0.0`,
    run: 1,
    worker: WORKER,
  }),
  logLine(5, 'entry-1', 'TASK_PACED', {task: TASK, run: 1, percent: 100}),
  logLine(6.1, 'entry-1', 'RUN_ENDED', {task: TASK, run: 1, outcome: 'done'}),
  logLine(6.2, 'entry-1', 'WORKFLOW_ENDED', {workflow: ID, state: 'done'}),
  logLine(9, 'entry-1', 'POOL_OWNED', {epoch: 8}),
];
const AGENT_LOG = [
  'no JSON at all',
  '{"cut',
  ` 12.4 agent-1 ${logLine(2.2, 'agent-1', 'START_SETTLED', {task: TASK, run: 1})}`,
  logLine(3, 'entry-1', 'WORKER_RESTED', {worker: 'agent-2/i-2@1'}),
];
const FILES = {'entry.log': ENTRY_LOG, 'agent.log': AGENT_LOG};

test('should show how the time of a workflow was spent', async t => {
  const run = await runOnFiles(FILES, [
    'trace',
    ID,
    'entry.log',
    'agent.log',
    '--json',
  ]);
  t.is(run.status, 0, run.errors);
  const trace = JSON.parse(run.output) as {
    tookMillis: number;
    parts: Array<{part: string; millis: number}>;
    longest: Array<{task: string; slowedMillis: number; outcome: string}>;
    lines: Array<{name: string}>;
  };
  t.is(trace.tookMillis, 6_200);
  t.deepEqual(trace.parts, [
    {part: 'at work', millis: 1_900},
    {part: 'slowed for what serves', millis: 2_000},
    {part: 'starting', millis: 100},
    {part: 'waiting for a place', millis: 2_200},
  ]);
  t.is(trace.longest[0].task, TASK);
  t.is(trace.longest[0].slowedMillis, 2_000);
  t.is(trace.longest[0].outcome, 'done');
});

test('should merge only the related lines of all processes, ordered by time', async t => {
  const run = await runOnFiles(FILES, ['trace', ID, 'agent.log', 'entry.log']);
  const names = [...run.output.matchAll(/^ +\+[\d.]+ \S+ ([A-Z_]+)/gm)];
  t.deepEqual(
    names.map(([, name]) => name),
    [
      'WORKFLOW_ACCEPTED',
      'POOL_OWNED',
      'RUN_PLACED',
      'START_SETTLED',
      'TASK_PACED',
      'TASK_PACED',
      'RUN_ENDED',
      'WORKFLOW_ENDED',
    ],
  );
});

test('should read standard input when no file is given', async t => {
  const run = await runOnFiles({'': ENTRY_LOG}, ['log', 'trace', ID]);
  t.is(run.status, 0);
  t.regex(run.output, /^26a85b09c1d2e3f4: 6\.200 s/);
});

test('should report that no line refers to the id', async t => {
  const run = await runOnFiles(FILES, ['trace', 'other', 'entry.log']);
  t.is(run.status, 3);
  t.regex(run.errors, /No log line refers to other/);
});

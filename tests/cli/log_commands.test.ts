import test from 'ava';
import {runOnFiles} from './fixtures/fake_entry.js';

const ID = '26a85b09c1d2e3f4';
const BEGIN = Date.parse('2026-12-04T09:00:00Z');

function line(
  seconds: number,
  process: string,
  name: string,
  fields: object,
): string {
  const time = new Date(BEGIN + seconds * 1_000).toISOString();
  const head = {time, level: 'info', event: 6000, name, process};
  return JSON.stringify({...head, ...fields});
}

const TASK = `${ID}.0.0.0`;
const WORKER = 'agent-1/i-1@1';

const ENTRY_LOG = [
  line(0, 'entry-1', 'WORKFLOW_ACCEPTED', {workflow: ID, tasks: 1}),
  line(2, 'entry-1', 'POOL_OWNED', {epoch: 7}),
  line(2.1, 'entry-1', 'RUN_PLACED', {task: TASK, run: 1, worker: WORKER}),
  line(3, 'entry-1', 'TASK_PACED', {task: TASK, run: 1, percent: 10}),
  line(4, 'entry-1', 'RUN_PLACED', {
    task: `${ID}f.0.0.0`,
    run: 1,
    worker: WORKER,
  }),
  line(5, 'entry-1', 'TASK_PACED', {task: TASK, run: 1, percent: 100}),
  line(6.1, 'entry-1', 'RUN_ENDED', {task: TASK, run: 1, outcome: 'done'}),
  line(6.2, 'entry-1', 'WORKFLOW_ENDED', {workflow: ID, state: 'done'}),
  line(9, 'entry-1', 'POOL_OWNED', {epoch: 8}),
];
const AGENT_LOG = [
  'no JSON at all',
  '{"cut',
  ` 12.4 agent-1 ${line(2.2, 'agent-1', 'START_SETTLED', {task: TASK, run: 1})}`,
  line(3, 'entry-1', 'WORKER_RESTED', {worker: 'agent-2/i-2@1'}),
];
const FILES = {'entry.log': ENTRY_LOG, 'agent.log': AGENT_LOG};

test('should tell where the time of a workflow went', async t => {
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

test('should join the lines of all processes in order, and nothing else', async t => {
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

test('should read standard input when no file is named', async t => {
  const run = await runOnFiles({'': ENTRY_LOG}, ['log', 'trace', ID]);
  t.is(run.status, 0);
  t.regex(run.output, /^26a85b09c1d2e3f4: 6\.200 s/);
});

test('should say that no line names the id', async t => {
  const run = await runOnFiles(FILES, ['trace', 'other', 'entry.log']);
  t.is(run.status, 3);
  t.regex(run.errors, /No line of the logs names other/);
});

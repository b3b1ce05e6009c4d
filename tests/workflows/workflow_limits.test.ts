import test from 'ava';
import {findExcess} from '../../src/decisions/workflows/workflow_limits.js';
import {encodeProgress} from '../../src/decisions/workflows/workflow_codec.js';
import {encodeExcess} from '../../src/platform/submissions.js';
import {VirtualPool} from './fixtures/virtual_pool.js';
import {stepOf, workflowOf} from './fixtures/workflow_builders.js';

const ID = '00000000000000a7';
const STEP = {Count: 10_000, Cpu: 1, MemMb: 1, EstimateMs: 300};
/** Limit of the platform's store. */
const MAXIMUM_VALUE_BYTES = 1_048_576;

// Guards against an accepted job that stops the control for everyone.
test('should refuse a job whose progress cannot be stored', async t => {
  const pool = new VirtualPool({seed: 141, workers: 1});
  await pool.run(3_000);
  const steps = Array.from({length: 40}, () => STEP);
  t.is(await pool.submit(ID, steps, {millis: 300}), 400);
  t.is(await pool.state(ID), undefined);
});

test('should name the field and the limit of a job that is too large', t => {
  const step = stepOf({count: 10_000});
  const excess = findExcess(
    Array.from({length: 40}, () => step),
    undefined,
  );
  t.deepEqual(JSON.parse(encodeExcess(excess!)), {
    Field: 'Count of all Steps',
    Limit: 41_666,
    Value: 400_000,
  });
  const four = Array.from({length: 4}, () => step);
  t.is(findExcess(four, undefined), undefined);
  const saving = four.map(each => ({...each, checkpoints: true}));
  t.is(findExcess(saving, undefined)?.limit, 15_625);
});

// Guards against a schedule whose occurrences are due all at once.
test('should limit the occurrences of a schedule', t => {
  const schedule = {firstAtMillis: 0, intervalMillis: 0, times: 1_000_000_000};
  const steps = [stepOf({count: 10})];
  t.is(findExcess(steps, schedule)?.part, 'schedule');
  t.is(findExcess(steps, {...schedule, times: 3_650}), undefined);
});

// The limit holds if what it counts a task with is enough.
test('should store the progress of a job at the limit in one value', t => {
  for (const checkpoints of [false, true]) {
    const limit = checkpoints ? 15_625 : 41_666;
    const step = stepOf({count: limit, checkpoints});
    t.is(findExcess([step], undefined), undefined);
    const workflow = workflowOf(ID, [step]);
    for (const reference of workflow.tasks()) {
      workflow.place(reference, `side-${reference.name.index % 600}/executor`);
      if (checkpoints) reference.task.checkpoint = 'c'.repeat(36);
    }
    t.true(encodeProgress(workflow).length < MAXIMUM_VALUE_BYTES);
  }
});

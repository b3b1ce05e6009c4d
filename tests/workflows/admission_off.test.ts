import test from 'ava';
import {NoteWorkflowReply} from '../../src/protocol/generated/burdockmoor.js';
import {hashOf} from '../../src/utilities/text_hash.js';
import {VirtualPool} from './fixtures/virtual_pool.js';

/**
 * Of the run below with the code before admission control: what started where
 * and when, the number of writes to the store, and what was read from it. Since
 * then each of the two agents writes its key twice at its first start.
 */
const STARTS_BEFORE = 'f68e3ee8';
const REVISION_BEFORE = 425 + 2;
const READ_BEFORE = 11_304;

test('should decide and write as before while admission control is off', async t => {
  const pool = new VirtualPool({seed: 12, entries: 2, workers: 2});
  await pool.run(4_000);
  const step = {Count: 6, Cpu: 1_800, MemMb: 100, EstimateMs: 400, Fills: true};
  for (let number = 1; number <= 40; number++) {
    const id = number.toString(16).padStart(16, '0');
    const entry = pool.entryNames[number % 2];
    pool.submitUnawaited(id, [step], {millis: 400}, entry);
    await pool.run(250);
  }
  await pool.run(30_000);
  const starts = pool.history.runs.map(({task, run, worker, startedAt}) =>
    [task, run, worker, startedAt].join(' '),
  );
  t.is(starts.length, 240);
  t.is(hashOf(starts.join('\n')).toString(16), STARTS_BEFORE);
  t.is(pool.store.list('').revision, REVISION_BEFORE);
  t.is(pool.store.charactersReadBelow(''), READ_BEFORE);
});

test('should send no outlook while admission control is off', async t => {
  const pool = new VirtualPool({seed: 13});
  await pool.run(4_000);
  const link = pool.links.factoryOf('test').openPool(pool.ownerName!);
  const request = {workflow: '0'.repeat(16), cancelled: true, record: ''};
  const call = link.noteWorkflow(request);
  await pool.run(100);
  const reply = await call;
  t.deepEqual(reply, {noted: true});
  t.is(NoteWorkflowReply.encode(reply).finish().length, 2);
});

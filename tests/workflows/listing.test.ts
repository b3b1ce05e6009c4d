import test from 'ava';
import fastCheck from 'fast-check';
import {RunListSender} from '../../src/agent/workflows/run_list_sender.js';
import type {WorkerRun} from '../../src/backends/leased_worker.js';
import {RunListReceiver} from '../../src/entry/workflows/run_list_receiver.js';
import {ListingDelta} from '../../src/protocol/generated/burdockmoor.js';

const SEED = 20_261_204;

function runOf(task: string, change: Partial<WorkerRun> = {}): WorkerRun {
  return {task, run: 1, checkpoint: '', percent: 0, measure: 0, ...change};
}

test('should send nothing for unchanged runs', t => {
  const sender = new RunListSender();
  const runs = [runOf('a.0.0.0', {percent: 40, measure: 12}), runOf('a.0.0.1')];
  sender.prepare(runs).recordSent();
  const {delta} = sender.prepare(runs);
  t.is(ListingDelta.encode(delta).finish().length, 0);
});

test('should resend a change that was not passed to the stream', t => {
  const sender = new RunListSender();
  sender.prepare([runOf('a.0.0.0')]);
  const {delta} = sender.prepare([runOf('a.0.0.0', {percent: 50})]);
  t.deepEqual(
    delta.added.map(({task, percent}) => ({task, percent})),
    [{task: 'a.0.0.0', percent: 50}],
  );
});

test('should reject a change of a run that was never listed', t => {
  const runs = new Map<string, WorkerRun>();
  const delta = {added: [], gone: [7], progress: [], checkpoints: []};
  t.throws(() => new RunListReceiver().apply(delta, runs), {
    message: /Run 7 was never listed/,
  });
});

test('should rebuild any sequence of run lists from its deltas', t => {
  const run = fastCheck.record({
    task: fastCheck.constantFrom('a.0.0.0', 'a.0.0.1', 'b.0.1.0', 'b.0.1.1'),
    run: fastCheck.integer({min: 1, max: 2}),
    checkpoint: fastCheck.constantFrom('', '00a1', '00b2'),
    percent: fastCheck.integer({min: 0, max: 1_000}).map(tenths => tenths / 10),
    measure: fastCheck.integer({min: 0, max: 20_000}),
  });
  const runList = fastCheck.uniqueArray(run, {
    maxLength: 6,
    selector: each => `${each.task}#${each.run}`,
  });
  const property = fastCheck.property(
    fastCheck.array(fastCheck.tuple(runList, fastCheck.boolean()), {
      maxLength: 20,
    }),
    runLists => {
      const sender = new RunListSender();
      const receiver = new RunListReceiver();
      const received = new Map<string, WorkerRun>();
      for (const [runs, isSent] of runLists) {
        const {delta, recordSent} = sender.prepare(runs);
        if (!isSent) continue;
        recordSent();
        const bytes = ListingDelta.encode(delta).finish();
        receiver.apply(ListingDelta.decode(bytes), received);
        const expected = new Map(
          runs.map(each => [`${each.task}#${each.run}`, each]),
        );
        t.deepEqual(sorted(received), sorted(expected));
      }
    },
  );
  fastCheck.assert(property, {seed: SEED, numRuns: 200});
  t.pass();
});

function sorted(runs: ReadonlyMap<string, WorkerRun>): unknown[] {
  return [...runs].sort(([left], [right]) => (left < right ? -1 : 1));
}

import test from 'ava';
import fc from 'fast-check';
import {ImageInterference} from '../../src/decisions/workflows/image_interference.js';
import type {LearnedPair} from '../../src/decisions/workflows/image_interference.js';
import {planPlacements} from '../../src/decisions/workflows/placement_planner.js';
import type {PlannedRun} from '../../src/decisions/workflows/placement_planner.js';
import {
  decodeLearnedPairs,
  encodeLearnedPairs,
} from '../../src/decisions/workflows/tails/learned_pairs_codec.js';
import {WorkerHealth} from '../../src/decisions/workflows/worker_health.js';
import type {WorkerView} from '../../src/decisions/workflows/worker_view.js';
import type {Workflow} from '../../src/decisions/workflows/workflow.js';
import {WorkflowOrder} from '../../src/decisions/workflows/workflow_order.js';
import {CommitLog} from '../../src/entry/workflows/commit_log.js';
import {LearnedInterference} from '../../src/entry/workflows/learned_interference.js';
import {Events} from '../../src/observability/events.js';
import {Metrics} from '../../src/observability/metrics.js';
import {encodeRecord} from '../../src/protocol/owner_record.js';
import {StoreKeys} from '../../src/protocol/store_keys.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {FleetStore} from './fixtures/fleet_store.js';
import {RecordingLogger} from './fixtures/recording_logger.js';
import {settle, VirtualPool} from './fixtures/virtual_pool.js';
import {
  put,
  stepOf,
  workerOf,
  workflowOf,
} from './fixtures/workflow_builders.js';

const SERVED = stepOf({
  lasting: true,
  image: 'served',
  tailTargetMillis: 50,
});
const BEST_EFFORT = stepOf({
  fills: true,
  image: 'unseen',
  count: 20,
  size: {milliprocessors: 1_500, memoryMegabytes: 100, accelerators: 0},
});
const PAIR: LearnedPair = {
  latencyCriticalImage: 'served',
  bestEffortImage: 'unseen',
  interference: 6.5,
  variance: 0.25,
};

/** A worker of 24 cores with a latency-critical task at half of its target. */
function servingWorker(key: string, tailMillis = 25): WorkerView {
  const view = workerOf(key, 24_000);
  put(view, workflowOf(`watcher-${key}`, [SERVED]), tailMillis, 100);
  return view;
}

function plan(
  workflow: Workflow,
  workers: readonly WorkerView[],
  options: {limitsProbes?: boolean; interference?: ImageInterference} = {},
): PlannedRun[] {
  return planPlacements({
    workflows: [workflow],
    workers,
    health: new WorkerHealth(),
    interference: options.interference ?? new ImageInterference(),
    order: new WorkflowOrder(),
    termsOf: ({spec}) => spec.terms,
    mayPlace: () => true,
    workersThatFailed: () => new Set(),
    idleMillis: () => 0,
    limitsProbes: options.limitsProbes,
    now: 0,
    wallNow: 0,
  });
}

function countByWorker(planned: readonly PlannedRun[]): number[] {
  const counts = new Map<string, number>();
  for (const {worker} of planned) {
    counts.set(worker.key, (counts.get(worker.key) ?? 0) + 1);
  }
  return [...counts.values()];
}

test('should try a wide step of an unseen image on many workers at once', t => {
  const workers = Array.from({length: 20}, (_unused, index) =>
    servingWorker(`w${index}`),
  );
  const workflow = workflowOf('a', [BEST_EFFORT]);
  const before = countByWorker(plan(workflow, workers.slice(0, 4)));
  t.true(Math.max(...before) >= 3);
  const limited = plan(workflow, workers.slice(0, 4), {limitsProbes: true});
  t.deepEqual(countByWorker(limited), [1, 1, 1, 1]);
  const spread = plan(workflow, workers, {limitsProbes: true});
  t.deepEqual(countByWorker(spread), Array(20).fill(1));
});

test('should keep the limit over rounds until the run was measured', t => {
  const view = servingWorker('one');
  const name = put(view, workflowOf('first', [BEST_EFFORT]), 0);
  const workflow = workflowOf('a', [BEST_EFFORT]);
  t.is(plan(workflow, [view], {limitsProbes: true}).length, 0);
  view.running.set(name, {...view.running.get(name)!, measure: 1_500});
  t.is(plan(workflow, [view], {limitsProbes: true}).length, 1);
});

test('should not limit an image that is known not to interfere', t => {
  const interference = new ImageInterference();
  interference.restore([{...PAIR, interference: 0, variance: 0.05}]);
  const workflow = workflowOf('a', [BEST_EFFORT]);
  const workers = [servingWorker('one')];
  const options = {interference, limitsProbes: true};
  const limited = plan(workflow, workers, options);
  t.is(limited.length, plan(workflow, workers, {interference}).length);
  t.true(limited.length > 4);
});

test('should not limit runs on a worker without latency-critical tasks', t => {
  const workers = [workerOf('one', 24_000)];
  const workflow = workflowOf('a', [BEST_EFFORT]);
  const limited = plan(workflow, workers, {limitsProbes: true});
  t.is(limited.length, plan(workflow, workers).length);
});

test('should release the limit when a gang does not fit', t => {
  const gang = workflowOf('a', [{...BEST_EFFORT, gang: true, count: 2}]);
  const single = workflowOf('b', [{...BEST_EFFORT, count: 1}]);
  const planned = planPlacements({
    workflows: [gang, single],
    workers: [servingWorker('one')],
    health: new WorkerHealth(),
    interference: new ImageInterference(),
    order: new WorkflowOrder(),
    termsOf: ({spec}) => spec.terms,
    mayPlace: () => true,
    workersThatFailed: () => new Set(),
    idleMillis: () => 0,
    limitsProbes: true,
    now: 0,
    wallNow: 0,
  });
  t.deepEqual(
    planned.map(({reference}) => reference.workflow.id),
    ['b'],
  );
});

test('should never start a second unmeasured run that may take a tail over its target', t => {
  const pair = fc.record({
    interference: fc.double({min: 0, max: 8, noNaN: true}),
    variance: fc.double({min: 0.05, max: 20, noNaN: true}),
    tailMillis: fc.double({min: 5, max: 60, noNaN: true}),
  });
  const property = fc.property(pair, ({interference, variance, tailMillis}) => {
    const learned = new ImageInterference();
    learned.restore([{...PAIR, interference, variance}]);
    const workers = [servingWorker('one', tailMillis)];
    const workflow = workflowOf('a', [BEST_EFFORT]);
    const planned = plan(workflow, workers, {
      interference: learned,
      limitsProbes: true,
    });
    if (planned.length < 2) return true;
    const share = (planned.length * 1_500) / 24_000;
    const likely = interference + Math.sqrt(variance);
    return (tailMillis / 50) * Math.exp(likely * share) <= 1 + 1e-9;
  });
  t.notThrows(() => fc.assert(property, {seed: 7, numRuns: 300}));
});

test('should decode what it encodes, and refuse any other record', t => {
  t.deepEqual(decodeLearnedPairs(encodeLearnedPairs([PAIR])), [PAIR]);
  for (const text of ['', '{}', '[1]', '[["a","b",-1,2]]', '[["a","b",1]]']) {
    t.is(decodeLearnedPairs(text), undefined, text);
  }
  fc.assert(
    fc.property(fc.string(), text => {
      decodeLearnedPairs(text);
    }),
    {seed: 7, numRuns: 300},
  );
});

test('should bound the record, keeping the pairs that are most certain', t => {
  const pairs = Array.from({length: 2_000}, (_unused, index) => ({
    ...PAIR,
    bestEffortImage: `image-${index}`,
    variance: index,
  }));
  const kept = decodeLearnedPairs(encodeLearnedPairs(pairs));
  t.is(kept?.length, 500);
  t.is(kept?.at(-1)?.variance, 499);
});

async function advance(clock: VirtualClock): Promise<void> {
  const until = clock.now() + 100;
  await settle();
  while (clock.runNext(until)) await settle();
  clock.runUntil(until);
}

/** What an owner has learned, with its own commit log on the store. */
async function learnedBy(
  store: FleetStore,
  clock: VirtualClock,
  logger: RecordingLogger,
): Promise<{learned: LearnedInterference; interference: ImageInterference}> {
  const client = store.client('entry-0');
  const value = encodeRecord({nonce: 'claim', sequence: 0});
  const claim = client.transact({
    conditions: [],
    puts: [
      {key: StoreKeys.OWNER, value},
      {key: StoreKeys.COMMITS, value},
    ],
  });
  await advance(clock);
  const epoch = (await claim).revision;
  const interference = new ImageInterference();
  const commits = new CommitLog({
    store: client,
    clock,
    logger,
    metrics: new Metrics(),
    owner: {nonce: 'claim', leaseId: '1'},
    epoch,
    onDeposed: () => {},
  });
  const options = {store: client, commits, logger, interference};
  return {learned: new LearnedInterference(options), interference};
}

test('should hand the learned interference to the next owner', async t => {
  const clock = new VirtualClock();
  const store = new FleetStore(clock, new Random(1));
  const logger = new RecordingLogger();
  const first = await learnedBy(store, clock, logger);
  first.learned.save();
  await advance(clock);
  t.is(store.read(StoreKeys.LEARNED_INTERFERENCE), undefined);
  const sample = {image: 'served', ratio: 0.4, bestEffortShares: new Map()};
  const bestEffortShares = new Map([['unseen', 0.25]]);
  first.interference.observe(
    sample,
    {...sample, ratio: 2, bestEffortShares},
    500,
  );
  first.learned.save();
  await advance(clock);
  const second = await learnedBy(store, clock, logger);
  const loading = second.learned.load();
  await advance(clock);
  await loading;
  const [pair] = second.interference.learnedPairs();
  const [expected] = first.interference.learnedPairs();
  t.true(Math.abs(pair.interference - expected.interference) < 0.01);
  t.is(logger.fieldsOf(Events.INTERFERENCE_RESTORED).length, 1);
});

test('should own the pool although the learned interference is unusable', async t => {
  const logger = new RecordingLogger();
  const pool = new VirtualPool({
    seed: 3,
    logger,
    features: {sharedInterference: true},
  });
  pool.store.write(StoreKeys.LEARNED_INTERFERENCE, '[[1]]');
  await pool.run(5_000);
  t.not(pool.ownerName, undefined);
  t.is(logger.fieldsOf(Events.INTERFERENCE_NOT_RESTORED).length, 1);
  t.is(logger.fieldsOf(Events.POOL_OWNED).length, 1);
});

test('should not read what was learned unless settings ask for it', async t => {
  const logger = new RecordingLogger();
  const pool = new VirtualPool({seed: 3, logger});
  pool.store.write(StoreKeys.LEARNED_INTERFERENCE, '[[1]]');
  await pool.run(5_000);
  t.is(logger.fieldsOf(Events.POOL_OWNED).length, 1);
  t.is(logger.fieldsOf(Events.INTERFERENCE_NOT_RESTORED).length, 0);
});

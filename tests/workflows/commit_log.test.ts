import test from 'ava';
import {CommitLog} from '../../src/entry/workflows/commit_log.js';
import {WorkerRegistry} from '../../src/entry/workflows/worker_registry.js';
import {WorkflowRegistry} from '../../src/entry/workflows/workflow_registry.js';
import {SilentLogger} from '../../src/observability/logger.js';
import {Metrics} from '../../src/observability/metrics.js';
import {decodeCommit, encodeRecord} from '../../src/protocol/owner_record.js';
import {
  newWorkflowKey,
  specKey,
  StoreKeys,
} from '../../src/protocol/store_keys.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {FleetStore} from './fixtures/fleet_store.js';
import {settle} from './fixtures/virtual_pool.js';

const TERMS = {
  service: 'service',
  priority: 0,
  maximumFailures: 1,
  stretch: 1,
  latencyTargetMillis: 1,
};
/** More than fit into one transaction of the store. */
const WORKFLOW_COUNT = 60;

/** The commit log and registry of an owner that has just claimed the pool. */
class ClaimedRegistry {
  readonly log: CommitLog;
  readonly registry: WorkflowRegistry;

  private constructor(
    readonly clock: VirtualClock,
    readonly store: FleetStore,
    epoch: number,
  ) {
    this.log = new CommitLog({
      store: store.client('entry-0'),
      clock,
      logger: new SilentLogger(),
      metrics: new Metrics(),
      owner: {nonce: 'claim', leaseId: '1'},
      epoch,
      onDeposed: () => {},
    });
    this.registry = new WorkflowRegistry({
      commits: this.log,
      workerRegistry: new WorkerRegistry(),
      termsOf: () => undefined,
    });
  }

  static async open(): Promise<ClaimedRegistry> {
    const clock = new VirtualClock();
    const store = new FleetStore(clock, new Random(1));
    const value = encodeRecord({nonce: 'claim', sequence: 0});
    const claim = store.client('entry-0').transact({
      conditions: [],
      puts: [
        {key: StoreKeys.OWNER, value},
        {key: StoreKeys.COMMITS, value},
      ],
    });
    await settle();
    clock.runUntil(100);
    return new ClaimedRegistry(clock, store, (await claim).revision);
  }

  async run(millis: number): Promise<void> {
    const until = this.clock.now() + millis;
    await settle();
    while (this.clock.runNext(until)) await settle();
    this.clock.runUntil(until);
  }

  /** Adds a workflow that is stored in the inbox, and cancels it. */
  addAndCancel(id: string): void {
    this.store.write(newWorkflowKey(id), '');
    this.registry.add({
      id,
      queue: 'queue',
      terms: TERMS,
      payload: '',
      steps: [],
      acceptedAtMillis: 0,
    });
    this.registry.cancel(id, this.clock.now());
  }
}

function workflowId(number: number): string {
  return number.toString(16).padStart(16, '0');
}

test('should remove all workflows from the inbox when many arrive at once', async t => {
  const claimed = await ClaimedRegistry.open();
  for (let number = 1; number <= WORKFLOW_COUNT; number++) {
    claimed.addAndCancel(workflowId(number));
  }
  await claimed.run(1_000);
  t.true(claimed.log.isIdle);
  for (let number = 1; number <= WORKFLOW_COUNT; number++) {
    t.is(claimed.store.read(newWorkflowKey(workflowId(number))), undefined);
  }
});

test('should acknowledge an end only once all earlier changes are durable', async t => {
  const claimed = await ClaimedRegistry.open();
  const {registry, store} = claimed;
  // The end of a run of an unknown workflow needs no row of its own.
  const closing = {
    name: {workflow: 'unknown', occurrence: 0, step: 0, index: 0},
    run: 1,
    outcome: 'done',
    checkpoint: '',
  } as const;
  const last = workflowId(WORKFLOW_COUNT);
  const durableAtEffect: boolean[] = [];
  claimed.addAndCancel(workflowId(0));
  registry.closeRun(closing, 0, () => {});
  for (let number = 1; number <= WORKFLOW_COUNT; number++) {
    claimed.addAndCancel(workflowId(number));
  }
  registry.closeRun(closing, 0, () => {
    durableAtEffect.push(store.read(specKey(last)) !== undefined);
  });
  await claimed.run(1_000);
  t.deepEqual(durableAtEffect, [true]);
});

test('should limit the size of a commit', async t => {
  const claimed = await ClaimedRegistry.open();
  const value = 'x'.repeat(40_000);
  for (let number = 0; number < 4; number++) {
    const puts = [{key: `burdockmoor/value/${number}`, value}];
    claimed.log.change(`${number}`, () => ({puts, removals: []}));
  }
  await claimed.run(8);
  t.is(claimed.store.read('burdockmoor/value/1'), value);
  t.is(claimed.store.read('burdockmoor/value/2'), undefined);
  await claimed.run(40);
  t.is(claimed.store.read('burdockmoor/value/3'), value);
});

test('should commit the first change after an idle time at once, and batch later ones', async t => {
  const claimed = await ClaimedRegistry.open();
  const {log, store} = claimed;
  const put = (key: string): void =>
    log.change(key, () => ({puts: [{key, value: key}], removals: []}));
  put('burdockmoor/first');
  await claimed.run(5);
  t.is(store.read('burdockmoor/first'), 'burdockmoor/first');
  put('burdockmoor/second');
  await claimed.run(5);
  put('burdockmoor/third');
  await claimed.run(30);
  t.is(store.read('burdockmoor/second'), 'burdockmoor/second');
  t.is(store.read('burdockmoor/third'), 'burdockmoor/third');
  t.is(decodeCommit(store.read(StoreKeys.COMMITS)!)?.sequence, 2);
});

// Guards against a commit beyond the limit of a transaction, which the store
// rejects for ever: changes without an effect were not counted as included.
test('should limit the rows of a commit whose first changes have no effect', async t => {
  const claimed = await ClaimedRegistry.open();
  const {log, store} = claimed;
  const removed = Array.from({length: 27}, (_, index) => `inbox/${index}`);
  for (const key of removed) {
    store.write(key, '');
    log.change(key, () => ({puts: [], removals: [key]}));
  }
  const keys = Array.from({length: 4}, (_, index) => `burdockmoor/${index}`);
  const puts = keys.map(key => ({key, value: key}));
  log.change('last', () => ({puts, removals: []}));
  await claimed.run(1_000);
  t.true(log.isIdle);
  for (const key of removed) t.is(store.read(key), undefined);
  for (const key of keys) t.is(store.read(key), key);
});

import test from 'ava';
import fc from 'fast-check';
import {demandOf} from '../../src/decisions/workflows/admission/admission_demand.js';
import {BestEffortLoad} from '../../src/decisions/workflows/admission/best_effort_load.js';
import {
  findRefusal,
  retryAfterSeconds,
} from '../../src/decisions/workflows/admission/admission_policy.js';
import {decodeSubmission} from '../../src/platform/submissions.js';
import {Workflow} from '../../src/decisions/workflows/workflow.js';
import {WorkflowOrder} from '../../src/decisions/workflows/workflow_order.js';
import type {WorkflowSpec} from '../../src/decisions/workflows/workflow_types.js';
import {AdmissionControl} from '../../src/entry/workflows/admission_control.js';
import type {ReceivedOutlook} from '../../src/entry/workflows/admission_control.js';
import type {OwnerClient} from '../../src/entry/workflows/owner_client.js';
import {RefusalRemoval} from '../../src/entry/workflows/refusal_removal.js';
import {StoreHealth} from '../../src/entry/workflows/store_health.js';
import {WorkflowAcceptor} from '../../src/entry/workflows/workflow_acceptor.js';
import {WorkflowCanceller} from '../../src/entry/workflows/workflow_canceller.js';
import type {SubmissionResult} from '../../src/entry/workflows/workflow_acceptor.js';
import {Events} from '../../src/observability/events.js';
import {SilentLogger} from '../../src/observability/logger.js';
import {Metrics} from '../../src/observability/metrics.js';
import {refusedKey, specKey} from '../../src/protocol/store_keys.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {FleetStore} from './fixtures/fleet_store.js';
import {RecordingLogger} from './fixtures/recording_logger.js';
import {CONFIGURATION, VirtualPool} from './fixtures/virtual_pool.js';

const STARTUP_MILLIS = 4_000;
const TASK_MILLIS = 400;
const STRETCH = 1;
const LATENCY_TARGET_MILLIS = 300;
const NO_VALUE_MILLIS = 3 * (STRETCH * 2 * TASK_MILLIS + LATENCY_TARGET_MILLIS);
/** Six workers are nearly full with one large workflow in this time. */
const LARGE_INTERVAL_MILLIS = 700;
const BURST_FACTOR = 2.6;
const ID = idOf(1);

const LARGE_STEPS = [[], [0]].map(After => ({
  Count: 10,
  Cpu: 1_800,
  MemMb: 100,
  EstimateMs: TASK_MILLIS,
  Fills: true,
  After,
}));

/** Twenty seconds of work ahead, far more than has value. */
const FULL: ReceivedOutlook = {
  outlook: {
    backlogs: [
      {service: 'service', priority: 0, work: 400_000, workflows: 30, rate: 20},
    ],
  },
  ageMillis: 0,
};

function idOf(number: number): string {
  return number.toString(16).padStart(16, '0');
}

function specOf(
  id = ID,
  steps: ReadonlyArray<Record<string, unknown>> = LARGE_STEPS,
  schedule: Record<string, unknown> = {},
): WorkflowSpec {
  const [queue] = CONFIGURATION.queues;
  const terms = {
    ...queue,
    stretch: STRETCH,
    latencyTargetMillis: LATENCY_TARGET_MILLIS,
  };
  const body = JSON.stringify({Steps: steps, ...schedule});
  const submission = decodeSubmission(body)!;
  return {...submission, id, queue: 'queue', terms, acceptedAtMillis: 0};
}

/** Entries without an owner, which decide by a given outlook. */
class Entries {
  readonly clock = new VirtualClock();
  readonly store = new FleetStore(this.clock, new Random(5));
  readonly logger = new RecordingLogger();
  readonly metrics = new Metrics();
  received: ReceivedOutlook | undefined = FULL;
  /** Difference between the calendar and the monotonic time. */
  calendarOffset = 0;

  create(name: string): WorkflowAcceptor {
    const clock = {
      now: () => this.clock.now(),
      wallTime: () => this.clock.now() + this.calendarOffset,
      schedule: this.clock.schedule.bind(this.clock),
    };
    const {logger, metrics} = this;
    const lastOutlook = (): ReceivedOutlook | undefined => this.received;
    return new WorkflowAcceptor({
      store: this.store.client(name),
      health: new StoreHealth(clock),
      owner: {
        notifyAccepted: () => {},
        notifyCancelled: () => {},
      } as unknown as OwnerClient,
      admission: new AdmissionControl({lastOutlook, clock, logger, metrics}),
      clock,
      logger,
    });
  }

  createCanceller(name: string): WorkflowCanceller {
    const {clock, logger} = this;
    return new WorkflowCanceller({
      store: this.store.client(name),
      health: new StoreHealth(clock),
      owner: {notifyCancelled: () => {}} as unknown as OwnerClient,
      clock,
      logger,
    });
  }

  async settle<Result>(result: Promise<Result>): Promise<Result> {
    await this.clock.settleUntil(this.clock.now() + 1_000);
    return result;
  }

  submit(acceptor: WorkflowAcceptor, id = ID): Promise<SubmissionResult> {
    return this.settle(acceptor.submit(specOf(id)));
  }

  hasWorkflow(id = ID): boolean {
    return this.store.read(specKey(id))?.includes('steps') ?? false;
  }
}

interface BurstResult {
  submitted: number;
  withValue: number;
  refused: number;
  acceptedOnReturn: number;
}

/** A load of 2.6 times the rate for 6 s on a pool that is nearly full. */
async function replayBurst(
  admission: boolean,
  entries: number,
): Promise<BurstResult> {
  const logger = new RecordingLogger();
  const pool = createPool({admission, entries, logger, workers: 6});
  await pool.run(STARTUP_MILLIS);
  const result = {submitted: 0, withValue: 0, refused: 0, acceptedOnReturn: 0};
  const submit = async (id: string, returns = 0): Promise<void> => {
    const entry = pool.entryNames[result.submitted % entries];
    const behavior = {millis: TASK_MILLIS};
    const call = pool.requestSubmission(id, LARGE_STEPS, behavior, entry);
    const response = await call;
    if (returns === 1 && response?.status === 200) result.acceptedOnReturn++;
    if (response?.status !== 429) return;
    if (returns === 0) result.refused++;
    const seconds = Number(new Map(response.headers).get('retry-after'));
    pool.clock.schedule(seconds * 1_000, () => void submit(id, returns + 1));
  };
  const startedAt = pool.clock.now();
  for (;;) {
    const elapsed = pool.clock.now() - startedAt;
    if (elapsed > 26_000) break;
    const isBurst = elapsed >= 6_000 && elapsed < 12_000;
    void submit(idOf(++result.submitted));
    await pool.run(LARGE_INTERVAL_MILLIS / (isBurst ? BURST_FACTOR : 1));
  }
  await pool.run(15_000);
  for (const {ageMillis} of logger.fieldsOf(Events.WORKFLOW_ENDED)) {
    if (Number(ageMillis) <= NO_VALUE_MILLIS) result.withValue++;
  }
  return result;
}

function createPool(options: {
  admission: boolean;
  entries?: number;
  workers?: number;
  logger?: RecordingLogger;
  seed?: number;
}): VirtualPool {
  const {admission, seed = 7, ...others} = options;
  const pool = new VirtualPool({seed, ...others, features: {admission}});
  const [queue] = CONFIGURATION.queues;
  const terms = {stretch: STRETCH, latencyTargetMillis: LATENCY_TARGET_MILLIS};
  const queues = [{...queue, ...terms}];
  const configuration = {...CONFIGURATION, version: 2, queues};
  pool.store.write('op/config', JSON.stringify(configuration));
  return pool;
}

for (const entries of [1, 2]) {
  test(`should end more workflows of a burst with value, at ${entries} entries`, async t => {
    const before = await replayBurst(false, entries);
    const now = await replayBurst(true, entries);
    t.log(before, now);
    t.is(before.refused, 0);
    t.true(now.withValue >= 1.5 * before.withValue);
    t.true(now.refused > 0);
    t.true(now.acceptedOnReturn >= 0.8 * now.refused);
  });
}

test('should refuse only best-effort workflows that are too large', t => {
  const outlook = FULL.outlook;
  const refusalOf = (spec: WorkflowSpec): unknown => {
    const demand = demandOf(spec);
    return demand && findRefusal({id: spec.id, demand, outlook});
  };
  const [first, second] = LARGE_STEPS;
  t.truthy(refusalOf(specOf()));
  t.is(refusalOf(specOf(ID, [first, {...second, Fills: false}])), undefined);
  const lasting = {...second, LongRunning: true};
  t.is(refusalOf(specOf(ID, [first, lasting])), undefined);
  t.is(refusalOf(specOf(ID, LARGE_STEPS, {Times: 1})), undefined);
  t.is(refusalOf(specOf(ID, [{...first, EstimateMs: 0}])), undefined);
  // Thirty workflows ahead delay it by no more than its own work each.
  t.is(refusalOf(specOf(ID, [{...first, Count: 2}])), undefined);
  const other = {...specOf(), terms: {...specOf().terms, service: 'other'}};
  t.is(refusalOf(other), undefined);
  const worse = outlook.backlogs.map(each => ({...each, priority: 1}));
  const request = {id: ID, demand: demandOf(specOf())!};
  t.is(findRefusal({...request, outlook: {backlogs: worse}}), undefined);
});

test('should have an outlook only of a full pool, with a rate that falls', t => {
  const load = new BestEffortLoad();
  const workflow = new Workflow(specOf());
  const observe = (now: number, endedWork: number): number | undefined => {
    load.recordDone('service', endedWork, now);
    load.observe({
      workflows: [workflow],
      order: new WorkflowOrder(),
      termsOf: ({spec}) => spec.terms,
      now,
      wallNow: 0,
    });
    return load.outlook(now).backlogs[0]?.rate;
  };
  t.is(observe(0, 0), undefined);
  // Nothing has run: the wait is unknown.
  t.is(observe(1_000, 0), undefined);
  const [occurrence] = workflow.occurrences.values();
  workflow.place(workflow.reference(occurrence, 0, 0), 'worker');
  t.is(observe(1_500, 0), 1.8);
  t.is(observe(6_000, 100_000), 20);
  t.is(observe(11_500, 5_000), 1);
  for (const task of occurrence.tasks[0]) task.done = true;
  for (const task of occurrence.tasks[1]) task.placements = [];
  t.is(load.outlook(11_500).backlogs[0].work, 14_400);
  t.is(observe(12_000, 0), 1);
  t.is(load.outlook(12_000).backlogs[0].work, 7_200);
  workflow.cancel(0);
  t.is(observe(13_000, 0), undefined);
});

test('should spread the callers of one refusal, within 1 to 30 s', t => {
  const waits = Array.from({length: 200}, (_, index) =>
    retryAfterSeconds(60_000, idOf(index)),
  );
  t.deepEqual([...new Set(waits)].sort(), [25, 26, 27, 28, 29, 30]);
  t.is(retryAfterSeconds(0, ID), 1);
  t.is(retryAfterSeconds(60_000, ID), retryAfterSeconds(60_000, ID));
});

test('should accept without an outlook, or by an old or a malformed one', async t => {
  const entries = new Entries();
  const acceptor = entries.create('a');
  const [backlog] = FULL.outlook.backlogs;
  const cases = [
    undefined,
    {...FULL, ageMillis: 2_001},
    {outlook: {backlogs: [{...backlog, work: NaN}]}, ageMillis: 0},
    {outlook: {backlogs: [{...backlog, rate: -1}]}, ageMillis: 0},
  ];
  for (const [index, received] of cases.entries()) {
    entries.received = received;
    const {acceptance} = await entries.submit(acceptor, idOf(index));
    t.is(acceptance, 'stored');
  }
  entries.received = {...FULL, ageMillis: 2_000};
  t.is((await entries.submit(acceptor, idOf(9))).acceptance, 'deferred');
});

test('should accept a returning caller at another entry, once it has room', async t => {
  const entries = new Entries();
  const refused = await entries.submit(entries.create('a'));
  t.is(refused.acceptance, 'deferred');
  t.false(entries.hasWorkflow());
  await entries.clock.settleUntil(30_000);
  // By itself this outlook is just over the limit for a new workflow.
  const [backlog] = FULL.outlook.backlogs;
  const backlogs = [{...backlog, work: 105_000}];
  entries.received = {outlook: {backlogs}, ageMillis: 0};
  const other = entries.create('b');
  t.is((await entries.submit(other, idOf(2))).acceptance, 'deferred');
  t.is((await entries.submit(other)).acceptance, 'stored');
  t.true(entries.hasWorkflow());
  t.is(entries.store.read(refusedKey(ID)), undefined);
  t.regex(
    entries.metrics.render(),
    /deferred_workflows_accepted_total 1\n(.*\n)*.*workflows_deferred_total 2/,
  );
});

test('should take a returning caller for a new one if the calendar jumps back', async t => {
  const entries = new Entries();
  const acceptor = entries.create('a');
  await entries.submit(acceptor);
  entries.calendarOffset = -3_600_000;
  await entries.clock.settleUntil(30_000);
  t.is((await entries.submit(acceptor)).acceptance, 'deferred');
  entries.received = undefined;
  t.is((await entries.submit(acceptor)).acceptance, 'stored');
});

test('should not run a refused workflow by a late write of its first try', async t => {
  const entries = new Entries();
  const acceptor = entries.create('a');
  entries.received = undefined;
  Object.assign(entries.store.faults, {
    lostResponseShare: 1,
    lateMillis: 5_000,
  });
  t.is((await entries.submit(acceptor)).acceptance, 'unknown');
  entries.store.faults.lostResponseShare = 0;
  entries.received = FULL;
  const other = entries.create('b');
  t.is((await entries.submit(other)).acceptance, 'deferred');
  await entries.clock.settleUntil(10_000);
  t.false(entries.hasWorkflow());
});

test('should not run a refused workflow by a late write of its accepted retry', async t => {
  const entries = new Entries();
  const acceptor = entries.create('a');
  await entries.submit(acceptor);
  entries.received = undefined;
  const retry = acceptor.submit(specOf());
  // The first write has failed on its condition; the one in place of the refusal
  // is late.
  await entries.clock.settleUntil(entries.clock.now() + 5);
  Object.assign(entries.store.faults, {
    lostResponseShare: 1,
    lateMillis: 5_000,
  });
  t.is((await entries.settle(retry)).acceptance, 'unknown');
  entries.store.faults.lostResponseShare = 0;
  entries.received = FULL;
  const other = entries.create('b');
  t.is((await entries.submit(other)).acceptance, 'deferred');
  await entries.clock.settleUntil(20_000);
  t.false(entries.hasWorkflow());
});

test('should answer 200 for a repeated id whose workflow is stored', async t => {
  const entries = new Entries();
  const acceptor = entries.create('a');
  entries.received = undefined;
  await entries.submit(acceptor);
  entries.received = FULL;
  t.deepEqual(await entries.submit(acceptor), {acceptance: 'stored'});
  t.true(entries.hasWorkflow());
});

test('should not refuse if the refusal has no certain place in the store', async t => {
  const entries = new Entries();
  entries.store.faults.lostResponseShare = 1;
  t.is((await entries.submit(entries.create('a'))).acceptance, 'unknown');
  entries.store.faults.lostResponseShare = 0;
  entries.store.faults.refusing = true;
  // The store's own refusal: status 503, as without admission control.
  const busy = await entries.submit(entries.create('b'), idOf(2));
  t.deepEqual(busy, {acceptance: 'refused'});
  t.is(entries.store.read(specKey(idOf(2))), undefined);
});

test('should decide once for an id that two entries handle at once', async t => {
  for (const isFirstAccepting of [false, true]) {
    const entries = new Entries();
    entries.received = isFirstAccepting ? undefined : FULL;
    const first = entries.create('a').submit(specOf());
    entries.received = isFirstAccepting ? FULL : undefined;
    const second = entries.create('b').submit(specOf());
    const results = await entries.settle(Promise.all([first, second]));
    const acceptances = results.map(({acceptance}) => acceptance);
    // Accepted by one: the refusal was replaced, or it found the workflow.
    t.true(acceptances.includes('stored'));
    t.true(entries.hasWorkflow());
  }
});

test('should find nothing to cancel between a refusal and the retry', async t => {
  const entries = new Entries();
  const acceptor = entries.create('a');
  const canceller = entries.createCanceller('a');
  await entries.submit(acceptor);
  t.is(await entries.settle(canceller.cancel(ID)), 'absent');
  entries.received = undefined;
  t.is((await entries.submit(acceptor)).acceptance, 'stored');
  t.is(await entries.settle(canceller.cancel(ID)), 'stored');
});

// Guards against an accepted retry that runs although it was cancelled with 410.
test('should void the write of a retry when it finds nothing to cancel', async t => {
  const entries = new Entries();
  const acceptor = entries.create('a');
  await entries.submit(acceptor);
  entries.received = undefined;
  const {faults} = entries.store;
  Object.assign(faults, {lostResponseShare: 1, lateMillis: 5_000});
  const retry = acceptor.submit(specOf());
  await entries.clock.settleUntil(entries.clock.now() + 20);
  faults.lostResponseShare = 0;
  const canceller = entries.createCanceller('b');
  t.is(await entries.settle(canceller.cancel(ID)), 'absent');
  t.is((await retry).acceptance, 'unknown');
  await entries.clock.settleUntil(entries.clock.now() + 8_000);
  t.false(entries.hasWorkflow());
});

test('should remove records of refusals, but no workflow in their place', async t => {
  const entries = new Entries();
  const {store, clock} = entries;
  const acceptor = entries.create('a');
  for (let index = 0; index < 20; index++) {
    void acceptor.submit(specOf(idOf(index)));
  }
  await clock.settleUntil(1_000);
  const createRemoval = (): RefusalRemoval =>
    new RefusalRemoval({
      store: store.client('owner'),
      clock,
      logger: new SilentLogger(),
      retentionMillis: 10_000,
    });
  const removal = createRemoval();
  await entries.settle(removal.run());
  entries.received = undefined;
  await entries.submit(acceptor, idOf(3));
  await clock.settleUntil(9_000);
  await entries.settle(removal.run());
  t.not(store.read(specKey(idOf(4))), undefined);
  // After a change of owner the time counts again.
  const next = createRemoval();
  await entries.settle(next.run());
  t.not(store.read(specKey(idOf(4))), undefined);
  await clock.settleUntil(clock.now() + 10_000);
  await entries.settle(next.run());
  t.is(store.list('burdockmoor/refused/').values.length, 0);
  const left = store.list('burdockmoor/specs/').values.map(({key}) => key);
  t.deepEqual(left, [specKey(idOf(3))]);
});

test('should show no refused workflow, also after a change of owner', async t => {
  const logger = new RecordingLogger();
  const pool = createPool({admission: true, entries: 2, workers: 1, logger});
  await pool.run(STARTUP_MILLIS);
  const refused = await overload(pool);
  for (const entry of pool.entryNames) {
    t.is(await pool.state(refused, entry), undefined);
    t.is(await pool.cancel(refused, entry), 410);
  }
  pool.killEntry(pool.ownerName!);
  await pool.run(8_000);
  t.is(await pool.state(refused), undefined);
  t.deepEqual(logger.fieldsOf(Events.UNEXPECTED_FAULT), []);
  // The new owner has measured no rate yet: the retry is accepted and runs.
  t.is(await pool.submit(refused, LARGE_STEPS, {millis: 50}), 200);
  await pool.run(25_000);
  t.is(await pool.state(refused), 'done');
  t.deepEqual(pool.history.violations(), []);
});

/** Fills the pool until a workflow is refused, and returns its id. */
async function overload(pool: VirtualPool): Promise<string> {
  for (let number = 100; number < 200; number++) {
    const id = idOf(number);
    const behavior = {millis: TASK_MILLIS};
    const status = await pool.submit(id, LARGE_STEPS, behavior);
    if (status === 429) return id;
    await pool.run(300);
  }
  throw new Error('no workflow was refused');
}

test('should run no refused workflow while the store turns a third of calls away', async t => {
  const pool = createPool({admission: true, entries: 2, workers: 1});
  await pool.run(STARTUP_MILLIS);
  await overload(pool);
  const statuses = new Set<number>();
  for (let number = 300; number < 330; number++) {
    pool.store.faults.refusing = number % 3 === 0;
    const entry = pool.entryNames[number % 2];
    const behavior = {millis: TASK_MILLIS};
    const status = await pool.submit(
      idOf(number),
      LARGE_STEPS,
      behavior,
      entry,
    );
    statuses.add(status);
    pool.store.faults.refusing = false;
    await pool.run(100);
  }
  t.deepEqual([...statuses].sort(), [200, 429, 503]);
  await pool.run(10_000);
  t.deepEqual(pool.history.violations(), []);
});

test('should never refuse a workflow that runs', async t => {
  let refusalCount = 0;
  const operation = fc.record({
    number: fc.integer({min: 1, max: 4}),
    entry: fc.integer({min: 0, max: 1}),
    pauseMillis: fc.integer({min: 0, max: 1_500}),
    lostShare: fc.constantFrom(0, 0, 0.5),
    isCancel: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(operation, {minLength: 5, maxLength: 12}),
      async operations => {
        const pool = createPool({admission: true, workers: 1});
        await pool.run(STARTUP_MILLIS);
        await overload(pool);
        const refusedSince = new Map<string, number>();
        for (const {number, entry, ...rest} of operations) {
          const id = idOf(number);
          const name = pool.entryNames[entry];
          const {faults} = pool.store;
          Object.assign(faults, {
            lostResponseShare: rest.lostShare,
            lateMillis: 1_500,
          });
          if (rest.isCancel) await pool.cancel(id, name);
          else {
            refusedSince.delete(id);
            const behavior = {millis: TASK_MILLIS};
            const status = await pool.submit(id, LARGE_STEPS, behavior, name);
            if (status === 429) {
              refusalCount++;
              refusedSince.set(id, pool.clock.now());
            }
          }
          faults.lostResponseShare = 0;
          await pool.run(rest.pauseMillis);
        }
        await pool.run(6_000);
        for (const {task, startedAt} of pool.history.runs) {
          const since = refusedSince.get(task.slice(0, ID.length));
          if (since !== undefined && startedAt >= since) return false;
        }
        return true;
      },
    ),
    {seed: 11, numRuns: 12},
  );
  t.true(refusalCount > 0);
});

import test from 'ava';
import fc from 'fast-check';
import {FencingToken} from '../../src/agent/workflows/fencing_token.js';
import {SilentLogger} from '../../src/observability/logger.js';
import {agentKey} from '../../src/protocol/store_keys.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {FleetStore} from './fixtures/fleet_store.js';
import {settle, VirtualPool} from './fixtures/virtual_pool.js';

const ID = '00000000000000f1';
const STEP = {Count: 3, Cpu: 500, MemMb: 100, EstimateMs: 3_000};
const AGENT = 'agent-0';
const KEY = agentKey(AGENT);
/** From here on a multiple of the revision exceeds the largest exact number. */
const LARGE_REVISION = 200_000_000_000;
const LEGACY_TOKENS_PER_REVISION = 100_000;
/** Far more unanswered starts than one process run of an agent has. */
const LEGACY_RAISES = 90_000;

/** A store and the process runs of one agent, on virtual time. */
class TokenScenario {
  readonly clock = new VirtualClock();
  readonly store: FleetStore;
  private runCount = 0;

  constructor(firstRevision: number) {
    this.store = new FleetStore(this.clock, new Random(7), firstRevision);
  }

  newProcessRun(): FencingToken {
    return new FencingToken({
      store: this.store.client(AGENT),
      key: KEY,
      nonce: `run-${++this.runCount}`,
      clock: this.clock,
      logger: new SilentLogger(),
    });
  }

  /** Other processes write to the store all the time. */
  writeElsewhere(count: number): void {
    for (let index = 0; index < count; index++) this.store.write('other', '');
  }

  async run(millis: number): Promise<void> {
    const until = this.clock.now() + millis;
    await settle();
    while (this.clock.runNext(until)) await settle();
    this.clock.runUntil(until);
  }

  /** Raises the token once and returns it. */
  async raise(token: FencingToken): Promise<number> {
    void token.raiseAbove(token.value);
    await this.run(50);
    return token.value;
  }
}

// Guards against a raised token that is equal to the one before: a start that
// was carried out late ran beside the next run of its task.
for (const firstRevision of [10, LARGE_REVISION, 9_000_000_000_000_000]) {
  test(`should void an unanswered start at revision ${firstRevision}`, async t => {
    const pool = new VirtualPool({seed: 71, firstRevision});
    await pool.run(3_000);
    pool.workers[0].faults.lateStartMillis = 4_000;
    await pool.submit(ID, [STEP], {millis: 9_000});
    await pool.run(300);
    pool.workers[0].faults.lateStartMillis = 0;
    await pool.run(15_000);
    t.is(await pool.state(ID), 'done');
    t.deepEqual(pool.history.violations(), []);
  });
}

test('should exceed all earlier tokens at any revision, in any process run', async t => {
  await fc.assert(
    fc.asyncProperty(
      fc.oneof(
        fc.maxSafeInteger(),
        fc.constantFrom(90_071_992_547, 45_035_996_273, 2 ** 46),
      ),
      fc.array(fc.tuple(fc.boolean(), fc.integer({min: 0, max: 5})), {
        maxLength: 8,
      }),
      async (drawn, steps) => {
        const firstRevision = Math.min(
          Math.max(1, Math.abs(drawn)),
          Number.MAX_SAFE_INTEGER - 200,
        );
        const scenario = new TokenScenario(firstRevision);
        let token = scenario.newProcessRun();
        let before = 0;
        for (const [isRestarted, writes] of steps) {
          if (isRestarted) {
            token.close();
            token = scenario.newProcessRun();
          }
          scenario.writeElsewhere(writes);
          const value = await scenario.raise(token);
          if (!Number.isSafeInteger(value) || value <= before) return false;
          before = value;
        }
        return true;
      },
    ),
    {seed: 6, numRuns: 60},
  );
  t.pass();
});

// Guards against a worker that refuses an upgraded agent for good.
for (const revision of [10, 40_000_000_000, LARGE_REVISION]) {
  test(`should exceed the tokens of an earlier version at revision ${revision}`, async t => {
    const scenario = new TokenScenario(revision - 1);
    scenario.store.write(KEY, AGENT);
    const highest = revision * LEGACY_TOKENS_PER_REVISION + LEGACY_RAISES;
    const token = scenario.newProcessRun();
    let before = highest;
    for (let raised = 0; raised < 5; raised++) {
      const value = await scenario.raise(token);
      t.true(value > before);
      before = value;
    }
  });
}

test('should exceed earlier tokens after its key was removed', async t => {
  for (const revision of [10, LARGE_REVISION]) {
    const scenario = new TokenScenario(revision);
    const first = scenario.newProcessRun();
    scenario.writeElsewhere(20);
    for (let raised = 0; raised < 5; raised++) await scenario.raise(first);
    const before = first.value;
    scenario.store.remove(KEY);
    t.true((await scenario.raise(scenario.newProcessRun())) > before);
    t.true((await scenario.raise(first)) > before);
  }
});

test('should not raise the token after another process run has claimed the key', async t => {
  const scenario = new TokenScenario(10);
  const former = scenario.newProcessRun();
  await scenario.raise(former);
  const present = scenario.newProcessRun();
  const value = await scenario.raise(present);
  let raised: boolean | undefined;
  void former.raiseAbove(value).then(result => {
    raised = result;
  });
  await scenario.run(1_000);
  t.is(raised, false);
  t.true(former.value < value);
});

test('should raise the token once while the store is away, and again when it is back', async t => {
  const scenario = new TokenScenario(10);
  const token = scenario.newProcessRun();
  const first = await scenario.raise(token);
  scenario.store.faults.down = true;
  const second = await scenario.raise(token);
  t.true(second > first);
  t.is(await scenario.raise(token), second);
  await scenario.run(5_000);
  t.is(token.value, second);
  scenario.store.faults.down = false;
  await scenario.run(2_000);
  t.true(token.value > second);
});

test('should claim tokens although responses of the store are lost', async t => {
  for (const lateMillis of [0, 900, 3_000]) {
    const scenario = new TokenScenario(10);
    const former = scenario.newProcessRun();
    const before = await scenario.raise(former);
    Object.assign(scenario.store.faults, {lostResponseShare: 1, lateMillis});
    const token = scenario.newProcessRun();
    void token.raiseAbove(0);
    await scenario.run(4_000);
    scenario.store.faults.lostResponseShare = 0;
    await scenario.run(5_000);
    t.true(token.value > before);
    const value = token.value;
    t.true((await scenario.raise(token)) > value);
  }
});

// Guards against a cancelled run that goes on because its agent could not find
// out whether it had begun.
test('should stop a run whose unanswered start is undecided', async t => {
  const pool = new VirtualPool({seed: 72, workers: 1});
  await pool.run(3_000);
  const [worker] = pool.workers;
  worker.faults.lateStartMillis = 2_000;
  await pool.submit(ID, [{...STEP, Count: 1}], {millis: 30_000});
  await pool.run(100);
  pool.store.partitioned.add(AGENT);
  // Uses up the token in reserve.
  await pool.run(900);
  worker.faults.lateStartMillis = 0;
  t.is(await pool.cancel(ID), 200);
  await pool.run(6_000);
  t.true(pool.history.runs.every(({endedAt}) => endedAt !== undefined));
  pool.store.partitioned.delete(AGENT);
  await pool.run(2_000);
  t.deepEqual(pool.history.violations(), []);
});

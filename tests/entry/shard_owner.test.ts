import test from 'ava';
import {ShardScheduler} from '../../src/decisions/jobs/shard_scheduler.js';
import {ShardLog} from '../../src/entry/shards/shard_log.js';
import {
  ShardDroppedError,
  ShardOwner,
} from '../../src/entry/shards/shard_owner.js';
import {SilentLogger} from '../../src/observability/logger.js';
import {ConfirmingStore} from '../../src/backends/confirming_store.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {specification} from '../jobs/shard_fixture.js';
import {MemoryStore} from '../stand_ins/memory_store.js';

const APPEND_DEADLINE_MILLIS = 1_000;
const COMMIT_STARTED_MILLIS = 500;

test('should reject a wait for an append that fails after the shard was dropped', async t => {
  const clock = new VirtualClock();
  const store = new MemoryStore({clock});
  const settling = new ConfirmingStore({store, clock, random: new Random(1)});
  const owner = await ShardOwner.takeOver({
    log: new ShardLog(0, store, settling),
    entryId: 'entry-1',
    createScheduler: () =>
      new ShardScheduler({shard: 0, random: new Random(2)}),
    clock,
    logger: new SilentLogger(),
    observer: {onCommitted: () => {}, onDropped: () => {}},
    appendDeadlineMillis: APPEND_DEADLINE_MILLIS,
  });
  store.faults.down = true;
  owner.scheduler.submit(specification(), clock.now(), clock.wallTime());
  let outcome: unknown = 'waiting';
  owner.waitUntilDurable().then(
    () => (outcome = 'durable'),
    (error: unknown) => (outcome = error),
  );
  await clock.settleUntil(COMMIT_STARTED_MILLIS);
  owner.drop('it is handed over');
  await clock.settleUntil(COMMIT_STARTED_MILLIS + 2 * APPEND_DEADLINE_MILLIS);
  t.true(outcome instanceof ShardDroppedError);
});

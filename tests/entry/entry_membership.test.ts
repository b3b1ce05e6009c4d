import test from 'ava';
import {EntryMembership} from '../../src/entry/membership/entry_membership.js';
import {SilentLogger} from '../../src/observability/logger.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {MemoryStore} from '../stand_ins/memory_store.js';

const STEP_MILLIS = 100;

function newMembership(): {
  clock: VirtualClock;
  store: MemoryStore;
  membership: EntryMembership;
} {
  const clock = new VirtualClock();
  const store = new MemoryStore({clock});
  const membership = new EntryMembership({
    record: {
      entryId: 'entry-1',
      processAddress: '127.0.0.1:1',
      callerAddress: '127.0.0.1:2',
      failureDomain: 'tema',
      nonce: 'run-1',
      stopping: false,
    },
    shardCount: 1,
    store,
    clock,
    logger: new SilentLogger(),
  });
  return {clock, store, membership};
}

test('should register again when the registration under a new lease was lost', async t => {
  const {clock, store, membership} = newMembership();
  await membership.lease.renew();
  await clock.settleUntil(STEP_MILLIS);
  store.table.removeRange('entries/', 'entries0');
  t.is(store.table.get('entries/entry-1'), undefined);
  await membership.refresh();
  t.not(store.table.get('entries/entry-1'), undefined);
});

test('should publish a stop that was announced while a registration was in progress', async t => {
  const {clock, store, membership} = newMembership();
  await membership.lease.renew();
  await membership.announceStop();
  await clock.settleUntil(STEP_MILLIS);
  await membership.refresh();
  const {value} = store.table.get('entries/entry-1')!;
  t.true((JSON.parse(value) as {stopping: boolean}).stopping);
});

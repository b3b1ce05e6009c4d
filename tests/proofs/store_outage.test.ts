import test from 'ava';
import {VirtualEntry} from '../history/virtual_entry.js';
import {VirtualFleet} from '../history/virtual_fleet.js';

const BOOT_MILLIS = 8_000;
const OUTAGE_BEGIN_MILLIS = 12_000;
/** Shorter than the grace time of the virtual fleet's entries. */
const OUTAGE_END_MILLIS = 30_000;
const LAST_END_MILLIS = 60_000;
const LONG_RUN_MILLIS = 35_000;
/** This task ends during the outage, so that an append waits for the store. */
const SHORT_RUN_MILLIS = 6_000;

test('should keep tasks running through a store outage, and finish each of them once', async t => {
  const fleet = new VirtualFleet(7, {reached: () => {}});
  await fleet.runUntil(BOOT_MILLIS);
  for (const [name, runMillis] of [
    ['long', LONG_RUN_MILLIS],
    ['short', SHORT_RUN_MILLIS],
  ]) {
    void fleet.pickEntry().call({
      method: 'POST',
      path: '/v1/teams/depot/jobs',
      body: JSON.stringify({name, payload: JSON.stringify({runMillis})}),
    });
  }
  await fleet.runUntil(OUTAGE_BEGIN_MILLIS);
  setStoreDown(fleet, true);
  await fleet.runUntil(OUTAGE_END_MILLIS);
  setStoreDown(fleet, false);
  await fleet.runUntil(LAST_END_MILLIS);
  const {events} = fleet.history;
  const types = events.map(event => event.type);
  t.is(types.filter(type => type === 'taskStart').length, 2);
  t.is(types.filter(type => type === 'taskFinish').length, 2);
  t.false(types.includes('taskStop'));
  t.false(types.includes('taskLapse'));
  const ends = events.flatMap(event =>
    event.type === 'attemptClosed' ? [event.outcome] : [],
  );
  t.deepEqual(ends, ['finished', 'finished']);
  fleet.dispose();
});

test('should use an entry started during a store outage, and forget it once killed', async t => {
  const fleet = new VirtualFleet(8, {reached: () => {}});
  await fleet.runUntil(BOOT_MILLIS);
  void fleet.entries[0].call({
    method: 'PUT',
    path: '/v1/settings/depot',
    headers: {'if-match': '0', 'x-author': 'test'},
    body: '[quota]\nmemory_megabytes = 70000\n',
  });
  await fleet.runUntil(OUTAGE_BEGIN_MILLIS);
  setStoreDown(fleet, true);
  const [, knownEntry] = fleet.entries;
  const startedEntry = new VirtualEntry({
    ...knownEntry.options,
    id: 'entry-4',
    peerAddresses: [knownEntry.address],
  });
  fleet.entries.push(startedEntry);
  setStoreDown(fleet, true);
  await fleet.runUntil(OUTAGE_END_MILLIS);
  const {settings, agents} = dumpOf(startedEntry);
  t.is(settings.revision, dumpOf(knownEntry).settings.revision);
  t.true(settings.revision > 0);
  t.is(agents.length, fleet.vms.length);
  startedEntry.kill();
  await fleet.runUntil(LAST_END_MILLIS);
  const remaining = dumpOf(knownEntry).entries.map(entry => entry.entryId);
  t.deepEqual(remaining.sort(), ['entry-1', 'entry-2', 'entry-3']);
  fleet.dispose();
});

interface EntryDump {
  readonly settings: {readonly revision: number};
  readonly agents: readonly object[];
  readonly entries: ReadonlyArray<{readonly entryId: string}>;
}

function dumpOf(entry: VirtualEntry): EntryDump {
  return entry.entry.dumpState() as EntryDump;
}

function setStoreDown(fleet: VirtualFleet, down: boolean): void {
  for (const entry of fleet.entries) entry.memory.faults.down = down;
}

import test from 'ava';
import {VirtualEntry} from '../history/virtual_entry.js';
import {VirtualFleet} from '../history/virtual_fleet.js';

const BOOT_MILLIS = 8_000;
const OUTAGE_BEGIN_MILLIS = 12_000;
/** Shorter than the grace time of the virtual fleet's entries. */
const OUTAGE_END_MILLIS = 30_000;
const LAST_END_MILLIS = 60_000;
const LONG_RUN_MILLIS = 35_000;
/** Its task ends during the outage, so that an append waits for the store. */
const SHORT_RUN_MILLIS = 6_000;

test('should keep tasks running through a store outage, and end them once', async t => {
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
  setDown(fleet, true);
  await fleet.runUntil(OUTAGE_END_MILLIS);
  setDown(fleet, false);
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

test('should bring an entry that starts in an outage into use, and let go of it', async t => {
  const fleet = new VirtualFleet(8, {reached: () => {}});
  await fleet.runUntil(BOOT_MILLIS);
  void fleet.entries[0].call({
    method: 'PUT',
    path: '/v1/settings/depot',
    headers: {'if-match': '0', 'x-author': 'test'},
    body: '[quota]\nmemory_megabytes = 70000\n',
  });
  await fleet.runUntil(OUTAGE_BEGIN_MILLIS);
  setDown(fleet, true);
  const [, known] = fleet.entries;
  const started = new VirtualEntry({
    ...known.options,
    id: 'entry-4',
    peerAddresses: [known.address],
  });
  fleet.entries.push(started);
  setDown(fleet, true);
  await fleet.runUntil(OUTAGE_END_MILLIS);
  const {settings, agents} = dumpOf(started);
  t.is(settings.revision, dumpOf(known).settings.revision);
  t.true(settings.revision > 0);
  t.is(agents.length, fleet.vms.length);
  started.kill();
  await fleet.runUntil(LAST_END_MILLIS);
  const left = dumpOf(known).entries.map(entry => entry.entryId);
  t.deepEqual(left.sort(), ['entry-1', 'entry-2', 'entry-3']);
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

function setDown(fleet: VirtualFleet, down: boolean): void {
  for (const entry of fleet.entries) entry.memory.faults.down = down;
}

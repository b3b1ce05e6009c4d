import test from 'ava';
import {waitUntil} from '../../bench/fleet/wait_until.js';
import {NightFixture} from './night_fixture.js';

test.serial('should fence an entry that was paused past its lease', async t => {
  const night = await NightFixture.open(t);
  const owner = night.owner();
  night.fleet.process(owner).signal('SIGSTOP');
  // The job's end is recorded by the owner that took over.
  await night.finish(night.otherEntry());
  night.fleet.process(owner).signal('SIGCONT');
  t.is(night.watcherRuns().length, 1);
  await night.checkCounts();
});

test.serial(
  'should move a watcher once its paused agent lost the lease',
  async t => {
    // The lease is shortened while the agent holds a longer one.
    const night = await NightFixture.open(t, {taskLeaseSeconds: 5});
    await night.finish(night.otherEntry());
    const paused = night.watcherVm();
    night.fleet.process(paused).signal('SIGSTOP');
    const moved = () => (night.watcherVm() === paused ? undefined : true);
    await waitUntil('the watcher moves', moved, {deadlineMillis: 45_000});
    night.fleet.process(paused).signal('SIGCONT');
    await night.checkCounts();
  },
);

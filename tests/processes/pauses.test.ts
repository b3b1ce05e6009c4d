import test from 'ava';
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

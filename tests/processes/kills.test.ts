import test from 'ava';
import {NightFixture} from './night_fixture.js';

test.serial('should keep all work when the owning entry is killed', async t => {
  const night = await NightFixture.open(t);
  const owner = night.owner();
  await night.fleet.kill(owner);
  await night.finish(night.otherEntry());
  t.is(night.watcherRuns().length, 1);
  night.fleet.restart(owner);
  await night.checkCounts();
});

test.serial('should keep all work when an agent is killed', async t => {
  const night = await NightFixture.open(t);
  const vm = night.watcherVm();
  await night.fleet.kill(vm);
  night.fleet.restart(vm);
  await night.finish(night.otherEntry());
  t.is(night.watcherRuns().length, 1);
  await night.checkCounts();
});

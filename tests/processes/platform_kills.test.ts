import test from 'ava';
import {waitUntil} from '../../bench/fleet/wait_until.js';
import {NightFixture} from './night_fixture.js';

test.serial('should keep all work when the store is killed', async t => {
  const night = await NightFixture.open(t);
  await night.fleet.kill('store');
  night.fleet.restart('store');
  await night.finish(night.otherEntry());
  t.is(night.watcherRuns().length, 1);
  await night.checkCounts();
});

test.serial('should run again what a killed worker lost', async t => {
  const night = await NightFixture.open(t);
  const worker = `${night.watcherVm()}-worker`;
  await night.fleet.kill(worker);
  night.fleet.restart(worker);
  const movedOn = () => (night.watcherRuns().length > 1 ? true : undefined);
  await waitUntil('the watcher runs again', movedOn, {deadlineMillis: 45_000});
  await night.finish(night.otherEntry());
  await night.checkCounts();
});

test.serial('should keep all work when an executor is killed', async t => {
  const night = await NightFixture.open(t);
  const executor = `${night.watcherVm()}-executor`;
  await night.fleet.kill(executor);
  night.fleet.restart(executor);
  await night.finish(night.otherEntry());
  t.is(night.watcherRuns().length, 1);
  await night.checkCounts();
});

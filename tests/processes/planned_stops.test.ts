import test from 'ava';
import {NightFixture} from './night_fixture.js';

test.serial(
  'should lose nothing when each process is stopped in turn',
  async t => {
    const night = await NightFixture.open(t, {taskRunMillis: 6_000});
    const {fleet} = night;
    const {entries, vms} = fleet.layout;
    for (const {name} of [...vms, ...entries]) {
      t.is((await fleet.stop(name)).code, 0);
      fleet.restart(name);
      await fleet.waitUntilHealthy();
    }
    await night.finish(night.otherEntry());
    t.deepEqual(await night.failedRequests(), []);
    await night.checkCounts();
  },
);

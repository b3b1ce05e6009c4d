import test from 'ava';
import {waitUntil} from '../../bench/fleet/wait_until.js';
import {NightFixture} from './night_fixture.js';

const WAIT = {deadlineMillis: 45_000};

test.serial(
  'should keep all work while the store is gone past its leases',
  async t => {
    const night = await NightFixture.open(t, {taskRunMillis: 6_000});
    const {fleet} = night;
    const owner = fleet.entry(night.owner());
    await fleet.control('store', 'faults', {down: true});
    const allFinished = () =>
      fleet.records.tally().finished < 6 ? undefined : true;
    await waitUntil('the workers finish the tasks', allFinished, WAIT);
    await fleet.control('store', 'lapse-leases');
    await fleet.control('store', 'faults', {down: false, loseWriteReplies: 5});
    await night.finish(owner);
    t.is(night.watcherRuns().length, 1);
    t.deepEqual(await night.failedRequests(), []);
    await night.checkCounts();
  },
);

test.serial(
  'should bring no caller a cut, crossed or late answer of another',
  async t => {
    const night = await NightFixture.open(t);
    const {fleet} = night;
    const [{name}] = fleet.layout.vms;
    const executor = `${name}-executor`;
    await fleet.control(executor, 'faults', {
      cutShare: 0.2,
      crossedShare: 0.2,
      silentShare: 0.1,
    });
    await night.finish(night.otherEntry());
    await fleet.control(executor, 'faults', {
      cutShare: 0,
      crossedShare: 0,
      silentShare: 0,
    });
    await fleet.control(executor, 'silence-connections');
    await night.checkCounts();
  },
);

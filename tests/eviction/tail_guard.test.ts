import test from 'ava';
import {chooseDisplaced} from '../../src/decisions/eviction/displacement.js';
import {InterferenceEstimator} from '../../src/decisions/eviction/interference_estimator.js';
import {MINIMUM_SHARE} from '../../src/decisions/eviction/share_allocation.js';
import {TailGuard} from '../../src/decisions/eviction/tail_guard.js';
import {GuardActionType} from '../../src/decisions/eviction/tail_policy.js';
import {ServiceModel} from './service_model.js';

const EFFECTS = {noisy: 4, quiet: 0.05};
/** The tail latency without any task is about 39 ms. */
const TARGET_MILLIS = 48;

test('should throttle the kind that interferes and leave the other', t => {
  const model = new ServiceModel(new TailGuard(), EFFECTS, TARGET_MILLIS);
  model.add('quiet', 'quiet');
  model.pass(20_000);
  model.add('noisy', 'noisy', {evictable: false});
  model.pass(20_000);
  t.is(model.shareOf('quiet'), 1);
  t.true(model.shareOf('noisy')! <= 0.35);
});

test('should raise the share again once the interference ends', t => {
  const effects = {...EFFECTS};
  const model = new ServiceModel(new TailGuard(), effects, TARGET_MILLIS);
  model.add('noisy', 'noisy', {evictable: false});
  model.pass(20_000);
  t.true(model.shareOf('noisy')! <= 0.35);
  effects.noisy = 0;
  model.pass(120_000);
  t.is(model.shareOf('noisy'), 1);
});

test('should not oscillate under steady interference', t => {
  const model = new ServiceModel(new TailGuard(), EFFECTS, TARGET_MILLIS);
  model.add('noisy', 'noisy', {evictable: false});
  model.pass(30_000);
  const before = model.actions.length;
  model.pass(60_000);
  t.true(model.actions.length - before <= 12);
});

test('should checkpoint and then evict when throttling is not enough', t => {
  const effects = {noisy: 12, quiet: 0};
  const model = new ServiceModel(new TailGuard(), effects, TARGET_MILLIS);
  model.add('quiet', 'quiet');
  model.pass(10_000);
  model.add('noisy', 'noisy');
  model.pass(40_000);
  const kinds = model.actions.map(action => action.type);
  const checkpoint = kinds.indexOf(GuardActionType.CHECKPOINT);
  const evict = kinds.indexOf(GuardActionType.EVICT);
  t.true(checkpoint >= 0 && evict > checkpoint);
  t.is(model.shareOf('noisy'), undefined);
  t.not(model.shareOf('quiet'), undefined);
});

test('should throttle tasks only while the service receives requests', t => {
  const effects = {noisy: 12};
  const model = new ServiceModel(new TailGuard(), effects, TARGET_MILLIS);
  model.add('fixed', 'noisy', {evictable: false});
  model.pass(40_000);
  t.is(model.shareOf('fixed'), MINIMUM_SHARE);
  model.answersPerPeriod = 0;
  model.pass(40_000);
  t.is(model.shareOf('fixed'), 1);
  model.add('later', 'noisy');
  model.pass(40_000);
  t.is(model.shareOf('later'), 1);
  model.answersPerPeriod = 60;
  model.pass(2_000);
  t.is(model.shareOf('fixed'), MINIMUM_SHARE);
});

test('should not evict urgent tasks or tasks that are not evictable', t => {
  const effects = {noisy: 12};
  const model = new ServiceModel(new TailGuard(), effects, TARGET_MILLIS);
  model.add('fixed', 'noisy', {evictable: false});
  model.add('urgent', 'noisy', {urgent: true});
  model.pass(40_000);
  t.is(model.shareOf('fixed'), MINIMUM_SHARE);
  t.is(model.shareOf('urgent'), MINIMUM_SHARE);
});

test('should leave tasks alone beside a service without a target', t => {
  const model = new ServiceModel(new TailGuard(), EFFECTS, 0);
  model.add('noisy', 'noisy');
  model.pass(20_000);
  t.is(model.shareOf('noisy'), 1);
});

test('should tell the effects of two kinds apart', t => {
  const estimator = new InterferenceEstimator();
  for (let period = 0; period < 200; period++) {
    const noisy = period % 2 === 0 ? 0.25 : 0;
    const loads = new Map([
      ['noisy', noisy],
      ['quiet', period % 3 === 0 ? 0.5 : 0.25],
    ]);
    const meanLog = 3 + 2 * noisy;
    const times = {count: 50, meanLog, varianceOfLog: 0.1};
    estimator.observe(times, {first: loads, last: loads}, 500);
  }
  t.true(Math.abs(estimator.effect('noisy') - 2) < 0.2);
  t.true(estimator.effect('quiet') < 0.1);
});

test('should displace only the tasks needed to free enough capacity', t => {
  const size = {milliprocessors: 3_000, memoryMegabytes: 0, accelerators: 0};
  const free = {milliprocessors: 500, memoryMegabytes: 0, accelerators: 0};
  const candidate = (key: string, milliprocessors: number, lost: number) => ({
    key,
    size: {...size, milliprocessors},
    lostMillis: lost,
  });
  const chosen = chooseDisplaced(size, free, [
    candidate('small', 500, 10),
    candidate('large', 3_000, 100),
    candidate('dear', 4_000, 1_000),
  ]);
  t.deepEqual(
    chosen.map(({key}) => key),
    ['large'],
  );
});

import test from 'ava';
import {QuantileTracker} from '../../src/decisions/retries/quantile_tracker.js';
import {RetryBudget} from '../../src/decisions/retries/retry_budget.js';
import {Random} from '../../src/utilities/random.js';

test('should allow few extra requests when most first ones fail', t => {
  const budget = new RetryBudget(0.1);
  let extra = 0;
  for (let request = 0; request < 10000; request++) {
    budget.earn(request);
    if (budget.spend(request)) extra++;
  }
  t.true(extra >= 1000 && extra <= 1016, `${extra} extra requests`);
});

test('should allow occasional retries with little traffic', t => {
  const budget = new RetryBudget(0.1);
  while (budget.spend(0));
  t.false(budget.spend(1000));
  t.true(budget.spend(4000));
});

test('should allow no retries if the share is zero', t => {
  const budget = new RetryBudget(0.1);
  budget.setShare(0);
  t.false(budget.spend(0));
});

test('should follow a quantile when the times change', t => {
  const random = new Random(1);
  const tracker = new QuantileTracker(0.95);
  t.is(tracker.value(), undefined);
  for (const mean of [10, 100]) {
    for (let sample = 0; sample < 3000; sample++) {
      tracker.add(mean * (1 + random.unit()));
    }
    const value = tracker.value() ?? 0;
    t.true(value > 1.7 * mean && value < 2.2 * mean, `${value} at ${mean}`);
  }
});

import test from 'ava';
import {RequestLimiter} from '../../src/decisions/admission/request_limiter.js';

test('should admit everything where no limit is set', t => {
  const limiter = new RequestLimiter();
  for (let request = 0; request < 1000; request++) {
    t.true(limiter.admit('team', 'orders', 0).admitted);
  }
});

test('should limit a service to its rate and return when to retry', t => {
  const limiter = new RequestLimiter();
  limiter.setLimit('team', 'orders', 10, 0);
  let admitted = 0;
  for (let now = 0; now < 10000; now += 10) {
    if (limiter.admit('team', 'orders', now).admitted) admitted++;
  }
  t.true(admitted >= 99 && admitted <= 106, `admitted ${admitted}`);
  const refused = limiter.admit('team', 'orders', 9990);
  t.true(!refused.admitted && refused.retryAfterMillis <= 100);
  t.true(limiter.admit('other', 'orders', 9990).admitted);
});

test('should apply a changed limit and drop a removed one', t => {
  const limiter = new RequestLimiter();
  limiter.setLimit('team', 'orders', 1000, 0);
  limiter.setLimit('team', 'orders', 1, 0);
  t.true(limiter.admit('team', 'orders', 0).admitted);
  t.false(limiter.admit('team', 'orders', 0).admitted);
  limiter.setLimit('team', 'orders', 0, 0);
  t.true(limiter.admit('team', 'orders', 0).admitted);
});

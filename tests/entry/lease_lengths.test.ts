import test from 'ava';
import {LeaseLengths} from '../../src/entry/shards/lease_lengths.js';

test('should count with a longer lease for as long as it may be held', t => {
  const lengths = new LeaseLengths();
  lengths.change(30_000, 0);
  lengths.change(5_000, 10_000);
  lengths.change(8_000, 20_000);
  t.is(lengths.longestMillis(20_000), 30_000);
  t.is(lengths.longestMillis(39_999), 30_000);
  t.is(lengths.longestMillis(40_000), 8_000);
});

test('should count with a longer lease at once', t => {
  const lengths = new LeaseLengths();
  lengths.change(5_000, 0);
  lengths.change(60_000, 20_000);
  t.is(lengths.longestMillis(20_000), 60_000);
});

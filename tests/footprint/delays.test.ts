import test from 'ava';
import {summarizeDelays} from '../../bench/footprint/delays.js';

test('should sum up delays whatever their order', t => {
  const delays = Array.from({length: 200}, (_, index) => 200 - index);
  t.deepEqual(summarizeDelays('starts', delays), {
    what: 'starts',
    count: 200,
    medianMillis: 101,
    tailMillis: 199,
    longestMillis: 200,
  });
});

test('should show a delay that never ended as the longest', t => {
  t.is(summarizeDelays('starts', [5, Infinity]).longestMillis, Infinity);
});
